#include "libs/routing/concurrency_limit.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void ConcurrencyLimit::SetBounds(double min, double max) {
  if (max_ == 0)
    limit_ = min;
  max_ = max;
  min_ = std::min(min, max);
  limit_ = std::clamp(limit_, min_, max_);
}

// A sample of a busy target says nothing about the idle target, unless it is
// faster than the current estimate of the idle time. The step is smaller while
// the limit is low, since other hosts may then keep the target busy.
void ConcurrencyLimit::UpdateIdleTime(double measured,
                                      double in_flight,
                                      double& idle) const {
  const double step =
      limit_ < max_ * kLowLimitFraction ? kIdleStepLowLimit : kIdleStep;
  if (idle == 0)
    idle = measured;
  else if (in_flight <= std::max(limit_ * kIdleLimitFraction, 1.0))
    idle *= measured < idle ? 1 - step : 1 + step;
  else if (measured < idle * kIdleTooHighFactor)
    idle += kIdleCorrection * (measured - idle);
}

// RecordFirstToken() skips requests that were sent before the last decrease:
// their times don't reflect the current limit.
void ConcurrencyLimit::Decrease(ShareStatus share_status,
                                double lateness,
                                TimePoint now) {
  const double step = limit_ * std::min(lateness, kMaxLimitDecrease);
  const double min_step = share_status == ShareStatus::kWithinShare ? 1 : 0;
  limit_ -= std::max(step, min_step);
  had_late_sample_ = true;
  last_decrease_ = now;
}

void ConcurrencyLimit::RecordFirstToken(ShareStatus share_status,
                                        std::chrono::duration<double> elapsed,
                                        double uncached_tokens,
                                        std::int64_t in_flight,
                                        TimePoint now) {
  has_sample_ = true;
  const double seconds = elapsed.count();
  const auto in_flight_when_sent = static_cast<double>(in_flight);
  const bool is_long = uncached_tokens >= kMinPromptTokensForSpeed;
  if (!is_long)
    UpdateIdleTime(seconds, in_flight_when_sent, idle_seconds_);
  else if (seconds > idle_seconds_)
    UpdateIdleTime((seconds - idle_seconds_) / uncached_tokens,
                   in_flight_when_sent, idle_seconds_per_token_);
  const double prefill_seconds =
      is_long ? uncached_tokens * idle_seconds_per_token_ : 0;
  const double lateness =
      seconds / ((idle_seconds_ + prefill_seconds) * kLateFactor) - 1;
  const bool is_used = in_flight_when_sent >= limit_ * kLimitUsedFraction;
  if (lateness > 0 && now - last_decrease_ > elapsed)
    Decrease(share_status, lateness, now);
  else if (lateness <= 0 && is_used && !had_late_sample_)
    limit_ += 1;
  else if (lateness <= 0 && is_used)
    limit_ +=
        (share_status == ShareStatus::kOnlyTeam ? 1 : kSharedLimitIncrease) /
        std::max(limit_, 1.0);
  limit_ = std::clamp(limit_, min_, max_);
}

}  // namespace turmericwinch
