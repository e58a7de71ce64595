// Decides when a host may call the platform, and for which duty first.

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

// Calls a second; a watch counts as a read.
struct PlatformRates {
  double reads = 0;
  double writes = 0;
};

// What the limiter decided on one call: it starts if `reason` is kOk.
struct PlatformDecision {
  std::uint64_t ticket = 0;
  Reason reason;
};

// Calls of one duty since the process started, and those that wait now.
struct PlatformDutyStats {
  std::uint64_t waited = 0;
  std::uint64_t over_limit = 0;
  std::uint64_t while_away = 0;
  std::size_t waiting = 0;
};

// Each host takes an equal part of what the whole fleet may call. What the
// host does not get at once waits in a queue for each duty; the queues take
// turns by weight, so that bills and claims go first and nothing starves. A
// platform that does not answer is asked again after growing, random pauses,
// longer in a large fleet; everything else waits a moment and is refused. Knows
// no clock and does no I/O: time is given, on any scale that does not go back.
// One thread.
class PlatformLimiter {
 public:
  using Time = std::chrono::milliseconds;

  // `fleet` is what all hosts may call together, `hosts` how many they are.
  PlatformLimiter(PlatformRates fleet, std::size_t hosts, std::uint64_t seed);
  ~PlatformLimiter();

  // Sets how many hosts share the fleet's rates.
  void SetHosts(std::size_t hosts, Time now);
  // Puts a call in its queue; Take() tells what becomes of it.
  std::uint64_t Enqueue(PlatformDuty duty, PlatformCallKind kind, Time now);
  // The calls decided by now. Reasons: kOk, kPlatformLimited (the queue is
  // full, or the wait was too long), kPlatformUnavailable (away).
  std::vector<PlatformDecision> TakeDecisions(Time now);
  // When Take() may have more; nothing if no call waits.
  std::optional<Time> NextDecisionTime(Time now) const;
  // To be called when a started call ended; `answered` if the platform gave
  // any answer other than a failure of its own.
  void EndCall(bool answered, Time now);

  bool unavailable() const;
  // What this host may call now.
  PlatformRates share() const;
  PlatformDutyStats Stats(PlatformDuty duty) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_LIMITER_H_
