// Enforces the configured request limits of teams on this host.

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

// Keeps one state for each limit name. requests_per_second is divided evenly
// among the live hosts of the failure domain; most_in_flight applies to each
// host, most_tokens to each request. Reads no clock and is not thread-safe.
class TeamLimiter {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Sets the number of live hosts in this host's failure domain; at least 1.
  void SetLiveHosts(int hosts);

  // Admits a request of `tokens` under all of `limits`, or rejects it without
  // counting it under any. Returns the names to pass to Release(). Reason:
  // kLimitExceeded.
  std::optional<std::vector<std::string>> Admit(
      const std::vector<const LimitConfig*>& limits,
      std::int64_t tokens,
      TimePoint now,
      Reason* reason);
  // Releases an admitted request that ended.
  void Release(const std::vector<std::string>& limits);

  std::int64_t InFlight(const std::string& limit) const;

 private:
  struct Usage {
    std::int64_t in_flight = 0;
    // Tokens of the token bucket: requests that may start now.
    double allowance = 0;
    std::optional<TimePoint> last_refill;
  };

  void Refill(const LimitConfig& limit, Usage& usage, TimePoint now) const;

  int hosts_ = 1;
  std::map<std::string, Usage> usages_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TEAM_LIMITER_H_
