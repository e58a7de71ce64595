#include "libs/node/attempt_meter.h"

#include <utility>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"node"};
constexpr int kStatusUnavailable = 503;
constexpr int kLeastServerError = 500;

}  // namespace

TargetAnswer AnswerOfStatus(int status, const HttpHeaders& headers) {
  if (status == kStatusUnavailable && headers.Get("X-Leaving") == "true")
    return TargetAnswer::kLeaving;
  if (status >= kLeastServerError)
    return TargetAnswer::kFailed;
  return status < 400 ? TargetAnswer::kGood : TargetAnswer::kNoVerdict;
}

TargetAnswer AnswerOfFailure(const HttpFailure& failure) {
  return failure.phase == HttpPhase::kConnect ? TargetAnswer::kRefused
                                              : TargetAnswer::kFailed;
}

AttemptMeter::AttemptMeter(SharedTargets& targets, TargetChoice choice)
    : targets_(targets), choice_(std::move(choice)) {}

AttemptMeter::~AttemptMeter() {
  std::chrono::duration<double> each{0};
  if (last_tokens_ > first_tokens_) {
    each = (last_ - first_) / static_cast<double>(last_tokens_ - first_tokens_);
  }
  targets_.End(choice_, answer_, each);
  if (answer_ != TargetAnswer::kGood && answer_ != TargetAnswer::kNoVerdict) {
    LogEvent(kLog, Severity::kWarning, "target_fault",
             {{"target", choice_.name}, {"answer", NameOf(answer_)}});
  }
}

void AttemptMeter::OnTokens(std::int64_t tokens) {
  const Clock::time_point now = Clock::now();
  if (!choice_.had_first) {
    targets_.FirstToken(choice_, now - sent_);
    first_ = now;
    first_tokens_ = tokens;
  }
  last_ = now;
  last_tokens_ = tokens;
}

}  // namespace turmericwinch
