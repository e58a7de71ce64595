#include "libs/routing/concurrency_limit.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void ConcurrencyLimit::SetBounds(double least, double most) {
  if (most_ == 0)
    limit_ = least;
  most_ = most;
  least_ = std::min(least, most);
  limit_ = std::clamp(limit_, least_, most_);
}

// Answers of a busy target tell nothing of the idle one, unless they are
// faster than what was taken for idle. A limit that fell shows that other
// hosts may keep the target busy.
void ConcurrencyLimit::Learn(double measured,
                             double in_flight,
                             double& idle) const {
  const double step =
      limit_ < most_ * kIdleFallenShare ? kIdleStepFallen : kIdleStep;
  if (idle == 0)
    idle = measured;
  else if (in_flight <= std::max(limit_ * kIdleLimitShare, 1.0))
    idle *= measured < idle ? 1 - step : 1 + step;
  else if (measured < idle * kIdleWrong)
    idle += kIdleCorrection * (measured - idle);
}

// Requests that were sent before it fell last do not show the new limit.
void ConcurrencyLimit::Fall(ShareStatus sample,
                            double lateness,
                            TimePoint now) {
  const double part = limit_ * std::min(lateness, kLimitFallMost);
  const double least = sample == ShareStatus::kWithinShare ? 1 : 0;
  limit_ -= std::max(part, least);
  was_late_ = true;
  fallen_ = now;
}

void ConcurrencyLimit::FirstToken(ShareStatus sample,
                                  std::chrono::duration<double> elapsed,
                                  double prompt,
                                  std::int64_t in_flight,
                                  TimePoint now) {
  sampled_ = true;
  const double seconds = elapsed.count();
  const auto sent_with = static_cast<double>(in_flight);
  const bool is_long = prompt >= kLeastPromptForSpeed;
  if (!is_long)
    Learn(seconds, sent_with, idle_seconds_);
  else if (seconds > idle_seconds_)
    Learn((seconds - idle_seconds_) / prompt, sent_with,
          idle_seconds_per_token_);
  const double reading = is_long ? prompt * idle_seconds_per_token_ : 0;
  const double lateness =
      seconds / ((idle_seconds_ + reading) * kLateFactor) - 1;
  const bool used = sent_with >= limit_ * kLimitUsedShare;
  if (lateness > 0 && now - fallen_ > elapsed)
    Fall(sample, lateness, now);
  else if (lateness <= 0 && used && !was_late_)
    limit_ += 1;
  else if (lateness <= 0 && used)
    limit_ += (sample == ShareStatus::kOnlyTeam ? 1 : kLimitRiseShared) /
              std::max(limit_, 1.0);
  limit_ = std::clamp(limit_, least_, most_);
}

}  // namespace turmericwinch
