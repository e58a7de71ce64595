// What a host knows of one target's speed and load.

#ifndef SRC_LIBS_ROUTING_TARGET_LOAD_H_
#define SRC_LIBS_ROUTING_TARGET_LOAD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace turmericwinch {

// A target's own report, as late as it comes.
struct LoadReport {
  std::int64_t in_flight = 0;
  std::int64_t waiting_prompt_tokens = 0;
  std::chrono::steady_clock::time_point taken;
};

// Estimates from the target's answers, from the own requests in flight and
// from the last load report. Free of clocks.
class TargetLoad {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `tokens_per_second` is what the configuration says of one stream.
  explicit TargetLoad(std::int64_t tokens_per_second);

  // A request of `prompt` uncached tokens was sent at `now`.
  void Begin(double prompt, TimePoint now);
  // The first token of the request sent at `sent` came after `elapsed`; `ahead`
  // is the pending prompt, its own included, at the time when it was sent.
  void FirstToken(double prompt,
                  double ahead,
                  std::chrono::duration<double> elapsed,
                  TimePoint sent,
                  TimePoint now);
  // The request that was sent at `sent` ended. `had_first_token` is whether
  // FirstToken() was called for it.
  void End(double prompt, bool had_first_token, TimePoint sent);
  // Measured time of one output token.
  void NoteTokenTime(std::chrono::duration<double> each);
  void NoteReport(const LoadReport& report);

  // Expected seconds to the first token of a request of `prompt` uncached
  // tokens.
  double FirstTokenSeconds(double prompt, TimePoint now) const;
  // The same and the weighed output.
  double Cost(double prompt, TimePoint now) const;
  // Wait that is not explained by own requests: as learnt, aged, or as long as
  // the oldest of them is overdue.
  double WaitSeconds(TimePoint now) const;
  // A request was answered well.
  void NoteGood() {
    is_proven_ = true;
    ++good_answers_;
  }
  std::int64_t good_answers() const { return good_answers_; }
  // Whether a request has had its first token or a good answer.
  bool is_proven() const { return is_proven_; }

  std::int64_t in_flight() const { return in_flight_; }
  double pending_prompt() const { return pending_prompt_; }
  double seconds_per_token() const { return seconds_per_token_; }
  double seconds_per_prompt_token() const { return seconds_per_prompt_token_; }

 private:
  std::int64_t in_flight_ = 0;
  double pending_prompt_ = 0;
  double seconds_per_token_;
  double seconds_per_prompt_token_;
  double wait_seconds_ = 0;
  TimePoint wait_time_;
  std::optional<LoadReport> report_;
  bool is_proven_ = false;
  std::int64_t good_answers_ = 0;
  // When the requests without a first token were sent.
  std::multiset<TimePoint> waiting_since_;

  double LearntWait(TimePoint now) const;
  void StopWaiting(TimePoint sent);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_LOAD_H_
