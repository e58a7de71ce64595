#include "libs/peer/rate_limit_wire.h"

#include <cmath>
#include <utility>

namespace turmericwinch {

namespace {

bool IsRate(double rate) {
  return std::isfinite(rate) && rate >= 0;
}

}  // namespace

wire::RateLimitNotice ToWire(const RateLimitNotice& notice) {
  wire::RateLimitNotice result;
  result.peer = notice.peer;
  for (const auto& [service, rate] : notice.demands) {
    wire::ServiceDemand demand;
    demand.name = service;
    demand.rate = rate;
    result.demands.push_back(std::move(demand));
  }
  for (const NamedRateLimit& it : notice.limits) {
    wire::NamedRateLimit limit;
    limit.target = it.target;
    limit.incarnation = it.incarnation;
    limit.limit = it.limit.value_or(0);
    limit.age_ms = it.age.count();
    result.limits.push_back(std::move(limit));
  }
  return result;
}

std::optional<RateLimitNotice> RateLimitNoticeOf(
    const wire::RateLimitNotice& wire) {
  if (wire.peer.empty())
    return std::nullopt;
  RateLimitNotice notice;
  notice.peer = wire.peer;
  for (const wire::ServiceDemand& it : wire.demands) {
    if (!IsRate(it.rate))
      return std::nullopt;
    notice.demands[it.name] = it.rate;
  }
  for (const wire::NamedRateLimit& it : wire.limits) {
    if (!IsRate(it.limit) || it.age_ms < 0)
      return std::nullopt;
    NamedRateLimit limit{it.target, it.incarnation, std::nullopt,
                         std::chrono::milliseconds(it.age_ms)};
    if (it.limit > 0)
      limit.limit = it.limit;
    notice.limits.push_back(std::move(limit));
  }
  return notice;
}

}  // namespace turmericwinch
