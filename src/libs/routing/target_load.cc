#include "libs/routing/target_load.h"

#include <algorithm>
#include <cmath>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

double AgedShare(std::chrono::duration<double> age,
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

void TargetLoad::Begin(double prompt, TimePoint now) {
  ++in_flight_;
  pending_prompt_ += prompt;
  waiting_since_.insert(now);
}

void TargetLoad::StopWaiting(TimePoint sent) {
  auto it = waiting_since_.find(sent);
  if (it != waiting_since_.end())
    waiting_since_.erase(it);
}

void TargetLoad::FirstToken(double prompt,
                            double ahead,
                            std::chrono::duration<double> elapsed,
                            TimePoint sent,
                            TimePoint now) {
  pending_prompt_ = std::max(pending_prompt_ - prompt, 0.0);
  StopWaiting(sent);
  is_proven_ = true;
  const double seconds = elapsed.count();
  if (ahead >= kLeastPromptForSpeed) {
    const double each = seconds / ahead;
    const double weight =
        each < seconds_per_prompt_token_ ? kSpeedWeight : kSlowerWeight;
    seconds_per_prompt_token_ += weight * (each - seconds_per_prompt_token_);
  }
  const double wait =
      std::max(seconds - ahead * seconds_per_prompt_token_, 0.0);
  const double aged = LearntWait(now);
  wait_seconds_ = aged + kSpeedWeight * (wait - aged);
  wait_time_ = now;
}

void TargetLoad::End(double prompt, bool had_first_token, TimePoint sent) {
  in_flight_ = std::max<std::int64_t>(in_flight_ - 1, 0);
  if (had_first_token)
    return;
  StopWaiting(sent);
  pending_prompt_ = std::max(pending_prompt_ - prompt, 0.0);
}

void TargetLoad::NoteTokenTime(std::chrono::duration<double> each) {
  seconds_per_token_ += kSpeedWeight * (each.count() - seconds_per_token_);
}

void TargetLoad::NoteReport(const LoadReport& report) {
  if (!report_ || report.taken >= report_->taken)
    report_ = report;
}

double TargetLoad::LearntWait(TimePoint now) const {
  return wait_seconds_ * AgedShare(now - wait_time_, kWaitHalfLife);
}

double TargetLoad::WaitSeconds(TimePoint now) const {
  const double learnt = LearntWait(now);
  if (waiting_since_.empty())
    return learnt;
  const std::chrono::duration<double> oldest = now - *waiting_since_.begin();
  return std::max(learnt,
                  oldest.count() - pending_prompt_ * seconds_per_prompt_token_);
}

double TargetLoad::FirstTokenSeconds(double prompt, TimePoint now) const {
  double wait = WaitSeconds(now);
  double ahead = pending_prompt_;
  if (report_) {
    const double share = AgedShare(now - report_->taken, kReportHalfLife);
    const double reported = static_cast<double>(report_->waiting_prompt_tokens);
    ahead = std::max(ahead, share * reported);
    wait *= 1 - share;
  }
  return wait + (ahead + prompt) * seconds_per_prompt_token_;
}

double TargetLoad::Cost(double prompt, TimePoint now) const {
  const double own = static_cast<double>(in_flight_ + 1);
  return FirstTokenSeconds(prompt, now) +
         seconds_per_token_ * (kWeighedOutputTokens + own);
}

}  // namespace turmericwinch
