// The rate limits of the targets in the table.

#include <algorithm>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_table_private.h"

namespace turmericwinch {

namespace {

bool IsIn(const std::set<std::string>* domains, const Target& target) {
  return !domains || domains->contains(target.member.failure_domain);
}

}  // namespace

void TargetTable::Private::SetShareOfNewLimit(Target& target,
                                              std::optional<double> limit,
                                              TimePoint now) const {
  if (limit && !target.rate_limit.limit())
    target.rate_limit.SetShare(first_rate_share, now);
}

bool TargetTable::RecordRateLimit(const TargetChoice& choice,
                                  std::optional<double> limit,
                                  TimePoint now) {
  Target* target = d_->Find(choice);
  if (!target)
    return false;
  d_->SetShareOfNewLimit(*target, limit, now);
  return target->rate_limit.RecordResponse(limit, choice.sent_at, now);
}

bool TargetTable::RecordRateLimitNotice(const RateLimitStatus& status,
                                        TimePoint now) {
  auto it = d_->targets.find(status.target);
  if (it == d_->targets.end() ||
      it->second.member.incarnation != status.incarnation)
    return false;
  d_->SetShareOfNewLimit(it->second, status.limit, now);
  return it->second.rate_limit.RecordNotice(status.limit, status.heard_at, now);
}

void TargetTable::SetRateShare(const std::string& target,
                               double share,
                               TimePoint now) {
  auto it = d_->targets.find(target);
  if (it != d_->targets.end())
    it->second.rate_limit.SetShare(share, now);
}

void TargetTable::SetFirstRateShare(double share) {
  d_->first_rate_share = share;
}

std::vector<RateLimitStatus> TargetTable::RateLimits(TimePoint now) const {
  std::vector<RateLimitStatus> result;
  for (const auto& [name, it] : d_->targets) {
    const std::optional<TimePoint> heard_at = it.rate_limit.heard_at();
    if (heard_at &&
        (it.rate_limit.limit() || now - *heard_at < kRateLimitEndHold)) {
      result.push_back({name, it.member.incarnation, it.service,
                        it.rate_limit.limit(), *heard_at});
    }
  }
  return result;
}

std::optional<double> TargetTable::AllowedRate(
    const std::string& service,
    TimePoint now,
    const std::set<std::string>* domains) const {
  const TimePoint wait_end =
      now + std::chrono::duration_cast<TimePoint::duration>(kMaxRateLimitQueue);
  std::optional<double> rate;
  for (const auto& [name, it] : d_->targets) {
    if (it.service != service || it.IsClosed(now) ||
        it.health.Weight(now) == 0 || !IsIn(domains, it))
      continue;
    const bool is_cold = it.cold.IsCold(wait_end) && it.cold.share();
    if (!it.rate_limit.limit() && !is_cold)
      return std::nullopt;
    double own = is_cold ? *it.cold.share() : it.rate_limit.own_rate();
    if (is_cold && it.rate_limit.limit())
      own = std::min(own, it.rate_limit.own_rate());
    rate = rate.value_or(0) + own;
  }
  return rate;
}

std::optional<TargetTable::TimePoint> TargetTable::NextRateStart(
    const std::string& service,
    TimePoint now,
    const std::set<std::string>* domains) const {
  std::optional<TimePoint> next;
  for (const auto& [name, it] : d_->targets) {
    if (it.service != service || it.IsClosed(now) || !IsIn(domains, it))
      continue;
    const std::optional<TimePoint> check = it.memory.NextCheck(now);
    if (check && (!next || *check < *next))
      next = check;
    const TimePoint cold_start = it.cold.NextStart(now);
    if (!it.rate_limit.limit() && cold_start <= now)
      continue;
    const std::optional<TimePoint> start = it.rate_limit.NextStart(now);
    if (start && (!next || std::max(*start, cold_start) < *next))
      next = std::max(*start, cold_start);
  }
  return next;
}

}  // namespace turmericwinch
