// Estimates of one target's speed and load.

#ifndef SRC_LIBS_ROUTING_TARGET_LOAD_H_
#define SRC_LIBS_ROUTING_TARGET_LOAD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include "libs/routing/target_speed.h"

namespace turmericwinch {

// Load that a target reported; it may be old when it arrives.
struct LoadReport {
  std::int64_t in_flight = 0;
  std::int64_t waiting_prompt_tokens = 0;
  std::chrono::steady_clock::time_point taken_at;
};

// Derives its estimates from the target's answers, from this host's requests in
// flight and from the last load report. Reads no clock.
class TargetLoad {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `tokens_per_second` is the configured output speed of one stream.
  explicit TargetLoad(std::int64_t tokens_per_second);

  // Records that a request of `prompt_tokens` uncached tokens was sent at
  // `now`.
  void BeginRequest(double prompt_tokens, TimePoint now);
  // Records that the first token of the request sent at `sent_at` came after
  // `elapsed`. `queued_tokens` are the prompt tokens that were pending when the
  // request was sent, its own included.
  void RecordFirstToken(double prompt_tokens,
                        double queued_tokens,
                        std::chrono::duration<double> elapsed,
                        TimePoint sent_at,
                        TimePoint now);
  // Records that the request sent at `sent_at` ended. `had_first_token` is
  // whether RecordFirstToken() was called for it.
  void EndRequest(double prompt_tokens,
                  bool had_first_token,
                  TimePoint sent_at);
  // Records the measured time of one output token.
  void RecordTokenTime(std::chrono::duration<double> token_time, TimePoint now);
  void RecordReport(const LoadReport& report);
  // Records that the target's work takes `percent` of its usual time.
  void RecordReportedSpeed(std::int64_t percent, TimePoint now);

  // Expected seconds to the first token of a request of `prompt_tokens`
  // uncached tokens.
  double FirstTokenSeconds(double prompt_tokens, TimePoint now) const;
  // Expected seconds to the first token plus the time of the output tokens that
  // the choice of a target takes into account.
  double Cost(double prompt_tokens, TimePoint now) const;
  // Factor by which reports say that output tokens now take longer than was
  // measured.
  double SpeedFactor(TimePoint now) const { return token_speed_.Factor(now); }
  // Wait that this host's own requests don't explain: the larger of the
  // measured wait, decayed by its age, and the time by which the oldest request
  // without a first token is overdue.
  double WaitSeconds(TimePoint now) const;
  // Records that a request got a good answer.
  void RecordGoodAnswer() {
    has_answered_ = true;
    ++good_answers_;
  }
  std::int64_t good_answers() const { return good_answers_; }
  // Whether any request got a first token or a good answer.
  bool has_answered() const { return has_answered_; }

  std::int64_t in_flight() const { return in_flight_; }
  double pending_prompt_tokens() const { return pending_prompt_tokens_; }
  double seconds_per_token() const { return seconds_per_token_; }
  double seconds_per_prompt_token() const { return seconds_per_prompt_token_; }

 private:
  std::int64_t in_flight_ = 0;
  double pending_prompt_tokens_ = 0;
  double seconds_per_token_;
  double seconds_per_prompt_token_;
  double wait_seconds_ = 0;
  TimePoint wait_time_;
  std::optional<LoadReport> report_;
  // The two times are measured at different moments, so that each has its own
  // change of speed since then.
  TargetSpeed first_token_speed_;
  TargetSpeed token_speed_;
  bool has_answered_ = false;
  std::int64_t good_answers_ = 0;
  // Send times of the requests that have no first token yet.
  std::multiset<TimePoint> waiting_since_;

  double AgedWait(TimePoint now) const;
  void EndWait(TimePoint sent_at);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_LOAD_H_
