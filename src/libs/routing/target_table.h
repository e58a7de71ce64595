// Table of the known targets, which chooses the target of each attempt.

#ifndef SRC_LIBS_ROUTING_TARGET_TABLE_H_
#define SRC_LIBS_ROUTING_TARGET_TABLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/config/config_snapshot.h"
#include "libs/routing/concurrency_limit.h"
#include "libs/routing/host_list.h"
#include "libs/routing/reported_load.h"
#include "libs/routing/target_health.h"
#include "libs/routing/target_load.h"
#include "libs/routing/target_notice.h"

namespace turmericwinch {

// The properties of a request that routing depends on. `prefix` is a hash of
// the part of the prompt that other requests share, `prefix_tokens` long; 0 if
// there is none. A `limited` request is rejected while its team has its share
// in flight and the targets have reached their estimated concurrency limits. A
// request without a team is never limited.
struct RoutingRequest {
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::uint64_t prefix = 0;
  std::int64_t prefix_tokens = 0;
  std::string team;
  int share = 1;
  bool limited = false;
  // Failure domains whose targets may get the request; null allows all.
  std::shared_ptr<const std::set<std::string>> domains = nullptr;
  // Output tokens that the request may produce.
  std::int64_t max_output_tokens = 0;
};

// A target chosen for one attempt, and the state that the table recorded when
// the attempt began.
struct TargetChoice {
  std::string name;
  std::string address;
  std::string incarnation;
  std::uint64_t id = 0;
  // Prompt tokens that the target is expected not to have cached.
  double uncached_tokens = 0;
  // Prompt tokens pending at the target, this request's included.
  double queued_tokens = 0;
  bool had_first_token = false;
  std::chrono::steady_clock::time_point sent_at = {};
  std::string service;
  std::string team;
  ShareStatus share_status = ShareStatus::kOnlyTeam;
  // Requests of this host at the target, this one included.
  std::int64_t in_flight = 0;
  // Tokens that the request is counted with at the target's memory.
  double held_tokens = 0;
};

// State of one target for dumps and metrics.
struct TargetStats {
  std::string name;
  std::string failure_domain;
  std::string service;
  std::string address;
  std::int64_t in_flight = 0;
  bool leaving = false;
  TargetState state = TargetState::kServing;
  int ejections = 0;
  double limit = 0;
  double wait_seconds = 0;
  double seconds_per_token = 0;
  double seconds_per_prompt_token = 0;
  // Requests per second that the target takes from all hosts; 0 if it named no
  // limit.
  double rate_limit = 0;
  bool evacuated = false;
  bool cold = false;
  // Factor by which reports say that work takes longer than measured.
  double speed_factor = 1;
  // Tokens that requests are estimated to hold: of this host, and of all.
  double own_tokens = 0;
  double used_tokens = 0;
};

// Why a target is taken for cold.
enum class ColdCause : std::uint8_t {
  // Its registration says so.
  kRegistration,
  // It was listed anew, and its registration does not say.
  kNew,
  // The evacuation of its failure domain ended.
  kEvacuationEnded,
  // It refused a connection.
  kRefused
};

std::string_view NameOf(ColdCause cause);

// A target that was not taken for cold before.
struct ColdNotice {
  std::string target;
  std::string incarnation;
  ColdCause cause = ColdCause::kRegistration;
  // Time for which it is taken for cold.
  std::chrono::milliseconds time{0};
  // Requests per second that this host may send meanwhile; nullopt if there is
  // no limit.
  std::optional<int> share;
};

// What is known of the rate limit of a target. Without `limit`, the target has
// ended a limit.
struct RateLimitStatus {
  std::string target;
  std::string incarnation;
  std::string service;
  std::optional<double> limit;
  std::chrono::steady_clock::time_point heard_at;
};

// Chooses the target with the least expected time, in the own failure domain
// and the near ones first. Compares a random sample of this host's subset of
// the targets, the targets that recently got the request's prefix, and the
// targets of the prefix on the hash ring. Not thread-safe.
class TargetTable {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // The name `host` selects the subset of targets and seeds the sampling.
  TargetTable(std::string failure_domain, const std::string& host);
  ~TargetTable();

  // Replaces the targets by those of `list`, with the target classes of
  // `config`. A target that was removed or restarted is a new target when it is
  // listed again. Ejects targets that are slow compared with the others.
  void Update(const HostList& list,
              const ConfigSnapshot& config,
              TimePoint now);

  // Sets the failure domains whose targets get no requests, until the next
  // call.
  void SetEvacuatedDomains(std::set<std::string> domains, TimePoint now);
  // Sets the names of all hosts of the fleet, this one included. Without a
  // fleet, cold targets get no requests.
  void SetFleet(std::vector<std::string> hosts);
  // Sets the bound of the requests that a cold target may get from all hosts in
  // any second: a factor of its limit, and a number beyond.
  void SetColdBound(double overshoot, double tolerance);
  // `handler` is called when a target becomes cold. It must not call the table.
  void SetColdHandler(std::function<void(const ColdNotice&)> handler);

  // Chooses a target whose name is not in `excluded`. The attempt counts as in
  // flight until EndAttempt(). Reasons: kOverloaded, kNoTarget,
  // kDomainEvacuated, kNoAllowedTarget; only kOverloaded may change soon.
  std::optional<TargetChoice> BeginAttempt(
      const RoutingRequest& request,
      const std::set<std::string>& excluded,
      TimePoint now,
      Reason* reason);
  // Whether the request's team has its share in flight while other teams are
  // active.
  bool IsOverShare(const RoutingRequest& request, TimePoint now) const;
  // Records that the first token of the attempt came `elapsed` after the
  // attempt was sent.
  void RecordFirstToken(TargetChoice& choice,
                        std::chrono::duration<double> elapsed,
                        TimePoint now);
  // Ends an attempt. `token_time` is the measured time between output tokens; 0
  // if there were too few tokens to measure it.
  void EndAttempt(const TargetChoice& choice,
                  AttemptOutcome outcome,
                  std::chrono::duration<double> token_time,
                  TimePoint now);
  // Records the rate limit that the response to the attempt named, or that it
  // named none. Returns whether the target's limit changed.
  bool RecordRateLimit(const TargetChoice& choice,
                       std::optional<double> limit,
                       TimePoint now);
  // Records a rate limit, or its end, that another host heard of. Returns
  // whether the target's limit changed.
  bool RecordRateLimitNotice(const RateLimitStatus& status, TimePoint now);
  // Sets the part of the target's rate limit that this host may use, 0 to 1.
  void SetRateShare(const std::string& target, double share, TimePoint now);
  // Sets the share of targets that name their first limit later.
  void SetFirstRateShare(double share);
  // The rate limits in force, and those that ended within kRateLimitEndHold.
  std::vector<RateLimitStatus> RateLimits(TimePoint now) const;
  // Requests per second that this host may start at the service if all its
  // usable targets have named rate limits or stay cold for longer than requests
  // may wait; nullopt if any has no limit. Only targets in `domains` count;
  // null allows all.
  std::optional<double> AllowedRate(
      const std::string& service,
      TimePoint now,
      const std::set<std::string>* domains = nullptr) const;
  // The earliest time at which a rate limit, the end of a cold start, or the
  // falling estimate of the memory that other hosts' requests hold allows a
  // request to the service without any other event; nullopt if there is none.
  std::optional<TimePoint> NextRateStart(
      const std::string& service,
      TimePoint now,
      const std::set<std::string>* domains = nullptr) const;
  // Records what the target said of itself in the response to the attempt.
  // Holds for this incarnation of the target. Returns whether that is news.
  bool RecordNotice(const TargetChoice& choice,
                    const TargetNotice& notice,
                    TimePoint now);
  // Records the load that the target reported in the response to the attempt.
  // The cost of a target takes the requests in it into account through this
  // host's measurements only; see docs/decisions/04-routing.md.
  void RecordReportedLoad(const TargetChoice& choice,
                          const ReportedLoad& load,
                          TimePoint now);
  // Records the load that the target `name` reported.
  void RecordLoadReport(const std::string& name, const LoadReport& report);

  std::vector<TargetStats> Stats(TimePoint now) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_TABLE_H_
