#include "libs/node/attempt_meter.h"

#include <utility>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"node"};
constexpr int kStatusUnavailable = 503;
constexpr int kMinServerError = 500;

}  // namespace

AttemptOutcome OutcomeOfStatus(int status, const HttpHeaders& headers) {
  if (status == kStatusUnavailable && headers.Get("X-Leaving") == "true")
    return AttemptOutcome::kLeaving;
  if (status >= kMinServerError)
    return AttemptOutcome::kFailed;
  return status < 400 ? AttemptOutcome::kGood : AttemptOutcome::kNoVerdict;
}

AttemptOutcome OutcomeOfFailure(const HttpFailure& failure) {
  return failure.phase == HttpPhase::kConnect ? AttemptOutcome::kRefused
                                              : AttemptOutcome::kFailed;
}

AttemptMeter::AttemptMeter(SharedTargets& targets, TargetChoice choice)
    : targets_(targets), choice_(std::move(choice)) {}

AttemptMeter::~AttemptMeter() {
  std::chrono::duration<double> token_time{0};
  if (last_tokens_ > first_tokens_) {
    token_time = (last_tokens_at_ - first_tokens_at_) /
                 static_cast<double>(last_tokens_ - first_tokens_);
  }
  targets_.EndAttempt(choice_, outcome_, token_time);
  if (outcome_ != AttemptOutcome::kGood &&
      outcome_ != AttemptOutcome::kNoVerdict) {
    LogEvent(kLog, Severity::kWarning, "target_fault",
             {{"target", choice_.name}, {"answer", NameOf(outcome_)}});
  }
}

void AttemptMeter::RecordTokens(std::int64_t tokens) {
  const Clock::time_point now = Clock::now();
  if (!choice_.had_first_token) {
    targets_.RecordFirstToken(choice_, now - sent_at_);
    first_tokens_at_ = now;
    first_tokens_ = tokens;
  }
  last_tokens_at_ = now;
  last_tokens_ = tokens;
}

}  // namespace turmericwinch
