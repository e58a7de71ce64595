// Health of a target, derived from the outcomes of its attempts.

#ifndef SRC_LIBS_ROUTING_TARGET_HEALTH_H_
#define SRC_LIBS_ROUTING_TARGET_HEALTH_H_

#include <chrono>
#include <string_view>

namespace turmericwinch {

// What the end of an attempt says about the target. kNoVerdict: nothing, for
// example when the caller disconnected. kRefused: the target refused the
// connection. kWrong: the answer was malformed or belonged to another request.
// kSilent: the target accepted the request, but answered neither it nor a probe
// over a new connection.
enum class AttemptOutcome {
  kNoVerdict,
  kGood,
  kRefused,
  kFailed,
  kWrong,
  kSlow,
  kLeaving,
  kSilent,
};

std::string_view NameOf(AttemptOutcome outcome);

// kReturning: the target is in slow start and gets a growing part of its
// traffic.
enum class TargetState { kServing, kReturning, kPaused, kEjected, kLeaving };

std::string_view NameOf(TargetState state);

// Consecutive failures eject the target for a time that doubles with each
// ejection. A silent target is ejected and a refused connection pauses the
// target at once. A target that announced that it is leaving gets no requests.
class TargetHealth {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Records the outcome of an attempt. Returns true if the target should be
  // ejected.
  bool RecordOutcome(AttemptOutcome outcome, TimePoint now);
  // Ejects the target for the duration of its next ejection.
  void Eject(TimePoint now);

  TargetState State(TimePoint now) const;
  // Fraction of its normal traffic that the target may get, 0 to 1.
  double Weight(TimePoint now) const;
  int ejections() const { return ejections_; }

 private:
  int failures_ = 0;
  int ejections_ = 0;
  // The state entered last. Slow start and full service follow after its end.
  TargetState last_state_ = TargetState::kServing;
  TimePoint last_state_end_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_HEALTH_H_
