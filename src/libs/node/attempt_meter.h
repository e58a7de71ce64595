// Tells the target table how one attempt went.

#ifndef SRC_LIBS_NODE_ATTEMPT_METER_H_
#define SRC_LIBS_NODE_ATTEMPT_METER_H_

#include <chrono>
#include <cstdint>

#include "libs/http/http_failure.h"
#include "libs/http/http_message.h"
#include "libs/node/shared_targets.h"

namespace turmericwinch {

// What a target's status says of it. A 503 with "X-Leaving: true" is a target
// that takes no new work; a 4xx says nothing of the target.
AttemptOutcome OutcomeOfStatus(int status, const HttpHeaders& headers);

// What a failed call says of the target.
AttemptOutcome OutcomeOfFailure(const HttpFailure& failure);

// Ends its attempt when dropped. Used on one thread.
class AttemptMeter {
 public:
  // `choice` comes from SharedTargets::Begin().
  AttemptMeter(SharedTargets& targets, TargetChoice choice);
  AttemptMeter(const AttemptMeter&) = delete;
  AttemptMeter& operator=(const AttemptMeter&) = delete;
  ~AttemptMeter();

  // `tokens` have arrived of the whole answer, those of earlier attempts
  // included.
  void RecordTokens(std::int64_t tokens);
  // The last verdict counts; kNoVerdict if there is none.
  void SetOutcome(AttemptOutcome answer) { answer_ = answer; }

 private:
  using Clock = std::chrono::steady_clock;

  SharedTargets& targets_;
  TargetChoice choice_;
  AttemptOutcome answer_ = AttemptOutcome::kNoVerdict;
  Clock::time_point sent_ = Clock::now();
  Clock::time_point first_;
  Clock::time_point last_;
  std::int64_t first_tokens_ = 0;
  std::int64_t last_tokens_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_ATTEMPT_METER_H_
