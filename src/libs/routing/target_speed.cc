#include "libs/routing/target_speed.h"

#include <algorithm>
#include <cmath>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

constexpr double kPercent = 100;

}  // namespace

double TargetSpeed::AgedAverage(TimePoint now) const {
  if (!report_time_)
    return measured_;
  const std::chrono::duration<double> age = now - *report_time_;
  const std::chrono::duration<double> half_life = kReportHalfLife;
  return measured_ +
         (average_ - measured_) * std::exp2(-std::max(age / half_life, 0.0));
}

void TargetSpeed::RecordReport(std::int64_t percent, TimePoint now) {
  if (percent <= 0 || (report_time_ && now < *report_time_))
    return;
  const double reported = std::clamp(static_cast<double>(percent) / kPercent,
                                     kMinReportedSpeed, kMaxReportedSpeed);
  double weight = kMaxSpeedReportWeight;
  double earlier = AgedAverage(now);
  if (report_time_) {
    const std::chrono::duration<double> gap = now - *report_time_;
    const std::chrono::duration<double> half_life = kSpeedAverageHalfLife;
    const double gap_weight = 1 - std::exp2(-(gap / half_life));
    // Frequent reports need no ageing in between, which would pull their
    // average to that of the measurements.
    if (gap_weight < weight) {
      weight = gap_weight;
      earlier = average_;
    }
  }
  average_ = earlier + weight * (reported - earlier);
  report_time_ = now;
}

void TargetSpeed::RecordMeasurement(TimePoint now) {
  measured_ += kMovingAverageWeight * (AgedAverage(now) - measured_);
}

double TargetSpeed::Factor(TimePoint now) const {
  return std::clamp(AgedAverage(now) / measured_, kMinSpeedFactor,
                    kMaxSpeedFactor);
}

}  // namespace turmericwinch
