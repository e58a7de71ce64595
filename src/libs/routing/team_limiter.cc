#include "libs/routing/team_limiter.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void TeamLimiter::SetLiveHosts(int hosts) {
  hosts_ = std::max(hosts, 1);
}

void TeamLimiter::Refill(const LimitConfig& limit,
                         Usage& usage,
                         TimePoint now) const {
  const double rate = static_cast<double>(limit.requests_per_second) / hosts_;
  const double burst = std::max(rate * kRateBurst.count(), 1.0);
  if (usage.last_refill) {
    const std::chrono::duration<double> elapsed = now - *usage.last_refill;
    usage.allowance = std::min(burst, usage.allowance + rate * elapsed.count());
  } else {
    usage.allowance = burst;
  }
  usage.last_refill = now;
}

std::optional<std::vector<std::string>> TeamLimiter::Admit(
    const std::vector<const LimitConfig*>& limits,
    std::int64_t tokens,
    TimePoint now,
    Reason* reason) {
  for (const LimitConfig* it : limits) {
    Usage& usage = usages_[it->name];
    Refill(*it, usage, now);
    const char* violation = nullptr;
    if (it->most_tokens > 0 && tokens > it->most_tokens)
      violation = ": too many tokens in one request";
    else if (it->most_in_flight > 0 && usage.in_flight >= it->most_in_flight)
      violation = ": too many requests in flight";
    else if (it->requests_per_second > 0 && usage.allowance < 1)
      violation = ": request rate exceeded";
    if (violation) {
      return Fail(reason, ResultCode::kLimitExceeded,
                  "limit " + it->name + violation);
    }
  }
  std::vector<std::string> names;
  for (const LimitConfig* it : limits) {
    Usage& usage = usages_[it->name];
    ++usage.in_flight;
    usage.allowance -= it->requests_per_second > 0 ? 1 : 0;
    names.push_back(it->name);
  }
  return names;
}

void TeamLimiter::Release(const std::vector<std::string>& limits) {
  for (const std::string& it : limits) {
    Usage& usage = usages_[it];
    usage.in_flight = std::max<std::int64_t>(usage.in_flight - 1, 0);
  }
}

std::int64_t TeamLimiter::InFlight(const std::string& limit) const {
  auto it = usages_.find(limit);
  return it == usages_.end() ? 0 : it->second.in_flight;
}

}  // namespace turmericwinch
