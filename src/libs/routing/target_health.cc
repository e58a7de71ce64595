#include "libs/routing/target_health.h"

#include <algorithm>
#include <array>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, 8> kAnswerNames = {
    "no_verdict", "good", "refused", "failed",
    "wrong",      "slow", "leaving", "silent"};
constexpr std::array<std::string_view, 5> kStateNames = {
    "serving", "returning", "paused", "ejected", "leaving"};
constexpr int kMostDoublings = 8;

}  // namespace

std::string_view NameOf(AttemptOutcome answer) {
  return kAnswerNames.at(static_cast<std::size_t>(answer));
}

std::string_view NameOf(TargetState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool TargetHealth::Note(AttemptOutcome answer, TimePoint now) {
  switch (answer) {
    case AttemptOutcome::kNoVerdict:
      return false;
    case AttemptOutcome::kGood:
      failures_ = 0;
      if (State(now) == TargetState::kServing)
        ejections_ = 0;
      return false;
    case AttemptOutcome::kLeaving:
      out_ = TargetState::kLeaving;
      out_until_ = now + kLeavingHold;
      return false;
    case AttemptOutcome::kSilent:
      return true;
    case AttemptOutcome::kRefused:
      if (out_until_ < now + kRefusedPause) {
        out_ = TargetState::kPaused;
        out_until_ = now + kRefusedPause;
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
  if (out_ == TargetState::kLeaving && now < out_until_)
    return;
  const auto length =
      kEjectionFirst * (1 << std::min(ejections_, kMostDoublings));
  out_ = TargetState::kEjected;
  out_until_ = now + std::min<std::chrono::milliseconds>(length, kEjectionMost);
  ++ejections_;
  failures_ = 0;
}

TargetState TargetHealth::State(TimePoint now) const {
  if (out_ == TargetState::kServing)
    return out_;
  if (now < out_until_)
    return out_;
  return now < out_until_ + kSlowStart ? TargetState::kReturning
                                       : TargetState::kServing;
}

double TargetHealth::Share(TimePoint now) const {
  switch (State(now)) {
    case TargetState::kServing:
      return 1;
    case TargetState::kReturning:
      return std::max(
          kSlowStartLeast,
          std::chrono::duration<double>(now - out_until_) / kSlowStart);
    default:
      return 0;
  }
}

}  // namespace turmericwinch
