#include "libs/routing/team_limiter.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void TeamLimiter::SetLiveHosts(int hosts) {
  hosts_ = std::max(hosts, 1);
}

void TeamLimiter::Refill(const LimitConfig& limit,
                         Use& use,
                         TimePoint now) const {
  const double rate = static_cast<double>(limit.requests_per_second) / hosts_;
  const double most = std::max(rate * kRateBurst.count(), 1.0);
  if (use.filled) {
    const std::chrono::duration<double> elapsed = now - *use.filled;
    use.allowance = std::min(most, use.allowance + rate * elapsed.count());
  } else {
    use.allowance = most;
  }
  use.filled = now;
}

std::optional<std::vector<std::string>> TeamLimiter::Admit(
    const std::vector<const LimitConfig*>& limits,
    std::int64_t tokens,
    TimePoint now,
    Reason* reason) {
  for (const LimitConfig* it : limits) {
    Use& use = uses_[it->name];
    Refill(*it, use, now);
    const char* what = nullptr;
    if (it->most_tokens > 0 && tokens > it->most_tokens)
      what = " allows fewer tokens in a request";
    else if (it->most_in_flight > 0 && use.in_flight >= it->most_in_flight)
      what = " allows no more requests at once";
    else if (it->requests_per_second > 0 && use.allowance < 1)
      what = " allows no more requests in this second";
    if (what) {
      return Fail(reason, ResultCode::kLimitExceeded,
                  "limit " + it->name + what);
    }
  }
  std::vector<std::string> names;
  for (const LimitConfig* it : limits) {
    Use& use = uses_[it->name];
    ++use.in_flight;
    use.allowance -= it->requests_per_second > 0 ? 1 : 0;
    names.push_back(it->name);
  }
  return names;
}

void TeamLimiter::Release(const std::vector<std::string>& limits) {
  for (const std::string& it : limits) {
    Use& use = uses_[it];
    use.in_flight = std::max<std::int64_t>(use.in_flight - 1, 0);
  }
}

std::int64_t TeamLimiter::InFlight(const std::string& limit) const {
  auto it = uses_.find(limit);
  return it == uses_.end() ? 0 : it->second.in_flight;
}

}  // namespace turmericwinch
