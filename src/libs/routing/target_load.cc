#include "libs/routing/target_load.h"

#include <algorithm>
#include <cmath>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

double DecayFactor(std::chrono::duration<double> age,
                   std::chrono::duration<double> half_life) {
  return std::exp2(-std::max(age.count(), 0.0) / half_life.count());
}

}  // namespace

TargetLoad::TargetLoad(std::int64_t tokens_per_second)
    : seconds_per_token_(
          1.0 /
          static_cast<double>(std::max<std::int64_t>(tokens_per_second, 1))),
      seconds_per_prompt_token_(seconds_per_token_ /
                                kPromptTokensPerOutputToken) {}

void TargetLoad::BeginRequest(double prompt_tokens, TimePoint now) {
  ++in_flight_;
  pending_prompt_tokens_ += prompt_tokens;
  waiting_since_.insert(now);
}

void TargetLoad::EndWait(TimePoint sent_at) {
  auto it = waiting_since_.find(sent_at);
  if (it != waiting_since_.end())
    waiting_since_.erase(it);
}

void TargetLoad::RecordFirstToken(double prompt_tokens,
                                  double queued_tokens,
                                  std::chrono::duration<double> elapsed,
                                  TimePoint sent_at,
                                  TimePoint now) {
  pending_prompt_tokens_ =
      std::max(pending_prompt_tokens_ - prompt_tokens, 0.0);
  EndWait(sent_at);
  has_answered_ = true;
  const double seconds = elapsed.count();
  if (queued_tokens >= kMinPromptTokensForSpeed) {
    const double measured = seconds / queued_tokens;
    const double weight = measured < seconds_per_prompt_token_
                              ? kMovingAverageWeight
                              : kSlowerSampleWeight;
    seconds_per_prompt_token_ +=
        weight * (measured - seconds_per_prompt_token_);
  }
  const double wait =
      std::max(seconds - queued_tokens * seconds_per_prompt_token_, 0.0);
  const double aged = AgedWait(now);
  wait_seconds_ = aged + kMovingAverageWeight * (wait - aged);
  wait_time_ = now;
  first_token_speed_.RecordMeasurement(now);
}

void TargetLoad::EndRequest(double prompt_tokens,
                            bool had_first_token,
                            TimePoint sent_at) {
  in_flight_ = std::max<std::int64_t>(in_flight_ - 1, 0);
  if (had_first_token)
    return;
  EndWait(sent_at);
  pending_prompt_tokens_ =
      std::max(pending_prompt_tokens_ - prompt_tokens, 0.0);
}

void TargetLoad::RecordTokenTime(std::chrono::duration<double> token_time,
                                 TimePoint now) {
  seconds_per_token_ +=
      kMovingAverageWeight * (token_time.count() - seconds_per_token_);
  token_speed_.RecordMeasurement(now);
}

void TargetLoad::RecordReport(const LoadReport& report) {
  if (!report_ || report.taken_at >= report_->taken_at)
    report_ = report;
}

void TargetLoad::RecordReportedSpeed(std::int64_t percent, TimePoint now) {
  first_token_speed_.RecordReport(percent, now);
  token_speed_.RecordReport(percent, now);
}

double TargetLoad::AgedWait(TimePoint now) const {
  return wait_seconds_ * DecayFactor(now - wait_time_, kWaitHalfLife);
}

double TargetLoad::WaitSeconds(TimePoint now) const {
  const double wait = AgedWait(now);
  if (waiting_since_.empty())
    return wait;
  const std::chrono::duration<double> oldest = now - *waiting_since_.begin();
  return std::max(wait, oldest.count() -
                            pending_prompt_tokens_ * seconds_per_prompt_token_);
}

double TargetLoad::FirstTokenSeconds(double prompt_tokens,
                                     TimePoint now) const {
  double wait = WaitSeconds(now);
  double queued_tokens = pending_prompt_tokens_;
  if (report_) {
    const double report_weight =
        DecayFactor(now - report_->taken_at, kReportHalfLife);
    const double reported = static_cast<double>(report_->waiting_prompt_tokens);
    queued_tokens = std::max(queued_tokens, report_weight * reported);
    wait *= 1 - report_weight;
  }
  return wait + (queued_tokens + prompt_tokens) * seconds_per_prompt_token_;
}

double TargetLoad::Cost(double prompt_tokens, TimePoint now) const {
  const double own = static_cast<double>(in_flight_ + 1);
  return FirstTokenSeconds(prompt_tokens, now) *
             first_token_speed_.Factor(now) +
         seconds_per_token_ * token_speed_.Factor(now) *
             (kWeighedOutputTokens + own);
}

}  // namespace turmericwinch
