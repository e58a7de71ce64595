#include "libs/routing/target_rate_limit.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kOneRequest = 1;

}  // namespace

bool TargetRateLimit::RecordResponse(std::optional<double> limit,
                                     TimePoint sent_at,
                                     TimePoint now) {
  if (!limit && (!limit_ || sent_at < heard_at_))
    return false;
  return SetLimit(limit, now, now);
}

bool TargetRateLimit::RecordNotice(std::optional<double> limit,
                                   TimePoint heard_at,
                                   TimePoint now) {
  if (heard_at_ && heard_at <= *heard_at_)
    return false;
  return SetLimit(limit, heard_at, now);
}

bool TargetRateLimit::SetLimit(std::optional<double> limit,
                               TimePoint heard_at,
                               TimePoint now) {
  const bool changed = limit != limit_;
  allowance_ = limit_ ? Allowance(now) : 0;
  last_refill_ = now;
  limit_ = limit;
  heard_at_ = heard_at;
  return changed;
}

void TargetRateLimit::SetShare(double share, TimePoint now) {
  allowance_ = Allowance(now);
  last_refill_ = now;
  share_ = share;
}

double TargetRateLimit::Allowance(TimePoint now) const {
  const Seconds elapsed = std::max(now - last_refill_, TimePoint::duration(0));
  return std::min(allowance_ + own_rate() * elapsed.count(),
                  kOneRequest + own_rate() * kSavedRateTime.count());
}

bool TargetRateLimit::MayStart(TimePoint now) const {
  return !limit_ || Allowance(now) >= kOneRequest;
}

void TargetRateLimit::RecordStart(TimePoint now) {
  if (!limit_)
    return;
  allowance_ = Allowance(now) - kOneRequest;
  last_refill_ = now;
}

bool TargetRateLimit::IsUnderused(TimePoint now) const {
  const Seconds elapsed = std::max(now - last_refill_, TimePoint::duration(0));
  return allowance_ + own_rate() * elapsed.count() >=
         kOneRequest + kUnderusedAllowance;
}

std::optional<TargetRateLimit::TimePoint> TargetRateLimit::NextStart(
    TimePoint now) const {
  if (MayStart(now))
    return now;
  if (own_rate() <= 0)
    return std::nullopt;
  const Seconds wait((kOneRequest - Allowance(now)) / own_rate());
  if (wait > kMaxStartWait)
    return std::nullopt;
  // Rounded up, so that the allowance suffices then.
  return now + std::chrono::ceil<std::chrono::milliseconds>(wait);
}

}  // namespace turmericwinch
