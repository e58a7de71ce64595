// Measures one attempt and reports its outcome to the target table.

#ifndef SRC_LIBS_NODE_ATTEMPT_METER_H_
#define SRC_LIBS_NODE_ATTEMPT_METER_H_

#include <chrono>
#include <cstdint>

#include "libs/http/http_failure.h"
#include "libs/http/http_message.h"
#include "libs/node/shared_targets.h"

namespace turmericwinch {

// Returns the outcome that an HTTP status implies for its target. A 503 with
// "X-Leaving: true" means that the target accepts no new work. A 4xx is the
// caller's error and gives no verdict on the target.
AttemptOutcome OutcomeOfStatus(int status, const HttpHeaders& headers);

// Returns the outcome that a failed call implies for its target.
AttemptOutcome OutcomeOfFailure(const HttpFailure& failure);

// The destructor ends the attempt. Must be used on one thread only.
class AttemptMeter {
 public:
  // `choice` comes from SharedTargets::BeginAttempt() or WaitForTarget().
  AttemptMeter(SharedTargets& targets, TargetChoice choice);
  AttemptMeter(const AttemptMeter&) = delete;
  AttemptMeter& operator=(const AttemptMeter&) = delete;
  ~AttemptMeter();

  // Records that `tokens` of the answer have arrived in total, including those
  // from earlier attempts.
  void RecordTokens(std::int64_t tokens);
  // The last outcome that is set is reported; the default is kNoVerdict.
  void SetOutcome(AttemptOutcome outcome) { outcome_ = outcome; }

 private:
  using Clock = std::chrono::steady_clock;

  SharedTargets& targets_;
  TargetChoice choice_;
  AttemptOutcome outcome_ = AttemptOutcome::kNoVerdict;
  Clock::time_point sent_at_ = Clock::now();
  Clock::time_point first_tokens_at_;
  Clock::time_point last_tokens_at_;
  std::int64_t first_tokens_ = 0;
  std::int64_t last_tokens_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_ATTEMPT_METER_H_
