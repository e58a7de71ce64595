// Whether a target may get new work, from what its answers showed.

#ifndef SRC_LIBS_ROUTING_TARGET_HEALTH_H_
#define SRC_LIBS_ROUTING_TARGET_HEALTH_H_

#include <chrono>
#include <string_view>

namespace turmericwinch {

// How an attempt ended, as far as it says something about the target.
// kNoVerdict: nothing, as when the caller went away. kSilent: it accepted and
// did not answer, nor a probe over a fresh connection.
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

std::string_view NameOf(AttemptOutcome answer);

// States of a target. kReturning gets a growing share.
enum class TargetState { kServing, kReturning, kPaused, kEjected, kLeaving };

std::string_view NameOf(TargetState state);

// Consecutive failures eject for a time that doubles; a silent target is
// ejected and a refused connection pauses at once; a target that says it leaves
// gets nothing.
class TargetHealth {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Takes an answer in. True if it calls for an ejection.
  bool Note(AttemptOutcome answer, TimePoint now);
  // Ejects until the time of this ejection is over.
  void Eject(TimePoint now);

  TargetState State(TimePoint now) const;
  // Share of its load that the target may get: 0 to 1.
  double Share(TimePoint now) const;
  int ejections() const { return ejections_; }

 private:
  int failures_ = 0;
  int ejections_ = 0;
  TargetState out_ = TargetState::kServing;
  TimePoint out_until_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_HEALTH_H_
