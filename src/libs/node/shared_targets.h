// The target table and its queue, shared by the traffic threads.

#ifndef SRC_LIBS_NODE_SHARED_TARGETS_H_
#define SRC_LIBS_NODE_SHARED_TARGETS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/http/http_cancel.h"
#include "libs/routing/target_queue.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// Thread-safe.
class SharedTargets {
 public:
  SharedTargets(std::string failure_domain, const std::string& host);

  void Update(const HostList& list, const ConfigSnapshot& config);
  // See the functions of TargetTable.
  void SetEvacuatedDomains(std::set<std::string> domains);
  void SetFleet(std::vector<std::string> hosts);
  void SetColdBound(double overshoot, double tolerance);
  void SetColdHandler(std::function<void(const ColdNotice&)> handler);
  std::optional<TargetChoice> BeginAttempt(
      const RoutingRequest& request,
      const std::set<std::string>& excluded,
      Reason* reason);
  // Begins an attempt of a request that has not run, at a target whose name is
  // not in `excluded`. Waits until `deadline`, in fair order by team, while
  // every target is full, or while the request's team already has its share in
  // flight and the targets have reached their limits. If all targets have named
  // rate limits or are cold, waits only behind as many requests as start within
  // kMaxRateLimitQueue. Fails as TargetTable::BeginAttempt() does, or with
  // kCallerGone as soon as `cancel`, which may be null, is cancelled.
  boost::asio::awaitable<std::optional<TargetChoice>> WaitForTarget(
      RoutingRequest request,
      std::chrono::steady_clock::time_point deadline,
      Reason* reason,
      HttpCancel* cancel = nullptr,
      std::set<std::string> excluded = {});
  // Ends all waits with kOverloaded, and lets no further request wait: the host
  // stops soon.
  void StopWaiting();
  // Must be called when the first token of an attempt has arrived.
  void RecordFirstToken(TargetChoice& choice,
                        std::chrono::duration<double> elapsed);
  // Records the rate limit that the response to the attempt named, or that it
  // named none. Returns whether the target's limit changed.
  bool RecordRateLimit(const TargetChoice& choice, std::optional<double> limit);
  // Records what the target said of itself in the response to the attempt.
  // Returns whether that is news.
  bool RecordNotice(const TargetChoice& choice, const TargetNotice& notice);
  // Records the load that the response to the attempt reported.
  void RecordReportedLoad(const TargetChoice& choice, const ReportedLoad& load);
  // See the functions of TargetTable.
  bool RecordRateLimitNotice(const RateLimitStatus& status);
  void SetRateShare(const std::string& target, double share);
  void SetFirstRateShare(double share);
  std::vector<RateLimitStatus> RateLimits() const;
  // `token_time` is the measured time between tokens, 0 if it is not known.
  void EndAttempt(const TargetChoice& choice,
                  AttemptOutcome outcome = AttemptOutcome::kNoVerdict,
                  std::chrono::duration<double> token_time = {});
  std::vector<TargetStats> Stats() const;
  // Number of waiting requests by service.
  std::map<std::string, std::size_t> QueueSizes() const;

 private:
  struct Waiter;

  // Ends the waiter's current wait. Safe from any thread.
  static void Wake(const std::shared_ptr<Waiter>& waiter);
  // Starts waiting requests while targets have capacity. The mutex must be
  // held.
  void StartQueuedRequests();
  // Whether the rate limits and cold starts of the targets that the request may
  // reach let it wait no longer than others, or not start before `deadline`.
  // The mutex must be held.
  bool IsRateQueueFull(const RoutingRequest& request,
                       std::chrono::steady_clock::time_point deadline,
                       std::chrono::steady_clock::time_point now,
                       Reason* reason) const;
  // Waits until the waiter's request has started, or until the deadline.
  boost::asio::awaitable<void> WaitForStart(
      std::shared_ptr<Waiter> waiter,
      std::chrono::steady_clock::time_point deadline);
  // Starts or queues a request. Returns null if it was started or refused.
  std::shared_ptr<Waiter> BeginOrEnqueue(
      const RoutingRequest& request,
      const std::set<std::string>& excluded,
      std::chrono::steady_clock::time_point deadline,
      const boost::asio::any_io_executor& executor,
      std::optional<TargetChoice>& choice,
      Reason* reason);

  mutable std::mutex mutex_;
  TargetTable table_;
  TargetQueue queue_{table_};
  std::map<QueueTicket, std::shared_ptr<Waiter>> waiters_;
  bool may_wait_ = true;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_TARGETS_H_
