// Enforces the configured limits of teams on this host.

#ifndef SRC_LIBS_ROUTING_TEAM_LIMITER_H_
#define SRC_LIBS_ROUTING_TEAM_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/config/config_snapshot.h"

namespace turmericwinch {

// Counts by the names of limits. A rate is shared evenly by the live hosts of
// the failure domain; most_in_flight holds for each host, most_tokens for each
// request. Free of clocks and not safe for use by several threads.
class TeamLimiter {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Live hosts of the own failure domain, at least 1.
  void SetLiveHosts(int hosts);

  // Admits a request of `tokens` under all of `limits` or under none. Returns
  // the names to be given to Release(). Reason: kLimitExceeded.
  std::optional<std::vector<std::string>> Admit(
      const std::vector<const LimitConfig*>& limits,
      std::int64_t tokens,
      TimePoint now,
      Reason* reason);
  // Ends a request that was admitted.
  void Release(const std::vector<std::string>& limits);

  std::int64_t InFlight(const std::string& limit) const;

 private:
  struct Use {
    std::int64_t in_flight = 0;
    // Requests that may start now.
    double allowance = 0;
    std::optional<TimePoint> filled;
  };

  void Refill(const LimitConfig& limit, Use& use, TimePoint now) const;

  int hosts_ = 1;
  std::map<std::string, Use> uses_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TEAM_LIMITER_H_
