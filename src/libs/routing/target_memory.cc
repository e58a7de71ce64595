#include "libs/routing/target_memory.h"

#include <algorithm>
#include <cmath>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

double TargetMemory::ExpectedTokens(std::int64_t prompt_tokens,
                                    std::int64_t max_output_tokens) {
  return static_cast<double>(std::max<std::int64_t>(prompt_tokens, 0)) +
         kHeldOutputFraction *
             static_cast<double>(std::max<std::int64_t>(max_output_tokens, 0));
}

double TargetMemory::AtMostCapacity(double tokens) const {
  return capacity_ == 0 ? tokens : std::min(tokens, capacity_);
}

void TargetMemory::BeginRequest(double tokens) {
  ++own_requests_;
  own_tokens_ += tokens;
}

void TargetMemory::EndRequest(double tokens) {
  own_requests_ = std::max<std::int64_t>(own_requests_ - 1, 0);
  // Without requests nothing is held; rounding errors must not add up.
  own_tokens_ = own_requests_ == 0 ? 0 : std::max(own_tokens_ - tokens, 0.0);
}

void TargetMemory::RecordReport(std::int64_t requests,
                                double mean_tokens,
                                TimePoint now) {
  const auto others =
      static_cast<double>(std::max<std::int64_t>(requests - own_requests_, 0));
  // The target runs, so its requests fit its memory.
  other_tokens_ = std::min(others * mean_tokens, capacity_);
  report_time_ = now;
}

double TargetMemory::OtherTokens(TimePoint now) const {
  if (other_tokens_ == 0)
    return 0;
  const std::chrono::duration<double> age = now - report_time_;
  const std::chrono::duration<double> half_life = kMemoryReportHalfLife;
  return other_tokens_ * std::exp2(-std::max(age / half_life, 0.0));
}

bool TargetMemory::HasRoom(double tokens, TimePoint now) const {
  if (capacity_ == 0)
    return true;
  if (own_requests_ == 0 && tokens > capacity_)
    return true;
  return UsedTokens(now) + tokens <= capacity_;
}

double TargetMemory::CostFactor(double tokens, TimePoint now) const {
  if (capacity_ == 0)
    return 1;
  const double used =
      std::min((UsedTokens(now) + tokens) / capacity_, kMaxCostMemoryFraction);
  return 1 / (1 - used);
}

std::optional<TargetMemory::TimePoint> TargetMemory::NextCheck(
    TimePoint now) const {
  if (capacity_ == 0 || OtherTokens(now) < 1)
    return std::nullopt;
  return now + kMemoryCheckInterval;
}

}  // namespace turmericwinch
