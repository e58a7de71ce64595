// Decides when a host may call the platform, and which duty goes first.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_LIMITER_H_
#define SRC_LIBS_PLATFORM_PLATFORM_LIMITER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "libs/base/reason.h"
#include "libs/platform/call_counter.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Calls per second; a watch counts as a read.
struct PlatformRates {
  double reads = 0;
  double writes = 0;
};

// Decision on one call: the call may start if `reason` is kOk.
struct PlatformDecision {
  std::uint64_t ticket = 0;
  Reason reason;
};

// Counters of one duty since the process started, and `waiting`, the number of
// calls that are queued now.
struct PlatformDutyStats {
  std::uint64_t waited = 0;
  std::uint64_t over_limit = 0;
  std::uint64_t while_away = 0;
  std::size_t waiting = 0;
};

// Each host gets an equal share of the rates of the whole fleet. Calls beyond
// the share wait in one queue per duty. The queues are served by weighted fair
// queuing, so that bills and claims go first and no duty starves. While the
// platform is unavailable, single calls probe it after growing, random pauses,
// which are longer in a large fleet; all other calls wait a short time and then
// fail. The class uses no clock and does no I/O: the caller passes the time, on
// any scale that does not go back. Used from one thread.
class PlatformLimiter {
 public:
  using Time = std::chrono::milliseconds;

  // `fleet` is the rates that all hosts share, `hosts` the number of hosts.
  PlatformLimiter(PlatformRates fleet, std::size_t hosts, std::uint64_t seed);
  ~PlatformLimiter();

  // Sets how many hosts share the fleet's rates.
  void SetHosts(std::size_t hosts, Time now);
  // Sets how many hosts probe an unavailable platform, if that is not the
  // number of hosts that share the rates.
  void SetProbingHosts(std::size_t hosts);
  // Queues a call and returns its ticket; TakeDecisions() returns the decision
  // on it.
  std::uint64_t Enqueue(PlatformDuty duty, PlatformCallKind kind, Time now);
  // Removes and returns the decisions made by `now`. Reasons: kOk,
  // kPlatformLimited (the queue is full, or the call waited too long),
  // kPlatformUnavailable (the platform does not answer).
  std::vector<PlatformDecision> TakeDecisions(Time now);
  // Time at which TakeDecisions() may return more; nullopt if no call waits.
  std::optional<Time> NextDecisionTime(Time now) const;
  // Must be called when a started call has ended. `answered` is whether the
  // platform gave any answer other than a failure of its own.
  void EndCall(bool answered, Time now);

  bool unavailable() const;
  // This host's current share of the fleet's rates.
  PlatformRates share() const;
  PlatformDutyStats Stats(PlatformDuty duty) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_LIMITER_H_
