#include "libs/routing/target_health.h"

#include <algorithm>
#include <array>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "no_verdict", "good", "refused", "failed",
    "wrong",      "slow", "leaving", "silent"};
constexpr std::array<std::string_view, 5> kStateNames = {
    "serving", "returning", "paused", "ejected", "leaving"};
constexpr int kMaxDoublings = 8;

}  // namespace

std::string_view NameOf(AttemptOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view NameOf(TargetState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool TargetHealth::RecordOutcome(AttemptOutcome outcome, TimePoint now) {
  switch (outcome) {
    case AttemptOutcome::kNoVerdict:
      return false;
    case AttemptOutcome::kGood:
      failures_ = 0;
      if (State(now) == TargetState::kServing)
        ejections_ = 0;
      return false;
    case AttemptOutcome::kLeaving:
      last_state_ = TargetState::kLeaving;
      last_state_end_ = now + kLeavingHold;
      return false;
    case AttemptOutcome::kSilent:
      return true;
    case AttemptOutcome::kRefused:
      if (last_state_end_ < now + kRefusedPause) {
        last_state_ = TargetState::kPaused;
        last_state_end_ = now + kRefusedPause;
      }
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kWrong:
    case AttemptOutcome::kSlow:
      break;
  }
  return ++failures_ >= kFailuresToEject;
}

void TargetHealth::Eject(TimePoint now) {
  if (last_state_ == TargetState::kLeaving && now < last_state_end_)
    return;
  const auto length =
      kFirstEjection * (1 << std::min(ejections_, kMaxDoublings));
  last_state_ = TargetState::kEjected;
  last_state_end_ =
      now + std::min<std::chrono::milliseconds>(length, kMaxEjection);
  ++ejections_;
  failures_ = 0;
}

TargetState TargetHealth::State(TimePoint now) const {
  if (last_state_ == TargetState::kServing)
    return last_state_;
  if (now < last_state_end_)
    return last_state_;
  return now < last_state_end_ + kSlowStart ? TargetState::kReturning
                                            : TargetState::kServing;
}

double TargetHealth::Weight(TimePoint now) const {
  switch (State(now)) {
    case TargetState::kServing:
      return 1;
    case TargetState::kReturning:
      return std::max(
          kMinSlowStartWeight,
          std::chrono::duration<double>(now - last_state_end_) / kSlowStart);
    default:
      return 0;
  }
}

}  // namespace turmericwinch
