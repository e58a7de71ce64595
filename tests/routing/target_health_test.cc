#include "libs/routing/target_health.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

const TargetHealth::TimePoint kStart{std::chrono::seconds(100)};

struct FaultCase {
  const char* name;
  std::vector<AttemptOutcome> answers;
  // State just after the answers and after the given time.
  TargetState at_once;
  milliseconds later;
  TargetState afterwards;
};

const std::vector<FaultCase> kCases = {
    {"one failure",
     {AttemptOutcome::kFailed},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
    {"failures apart",
     {AttemptOutcome::kFailed, AttemptOutcome::kFailed, AttemptOutcome::kGood,
      AttemptOutcome::kFailed, AttemptOutcome::kFailed},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
    {"failures in a row",
     {AttemptOutcome::kFailed, AttemptOutcome::kWrong, AttemptOutcome::kSlow},
     TargetState::kEjected,
     kEjectionFirst,
     TargetState::kReturning},
    {"refused connection",
     {AttemptOutcome::kRefused},
     TargetState::kPaused,
     kRefusedPause,
     TargetState::kReturning},
    {"said it leaves",
     {AttemptOutcome::kLeaving},
     TargetState::kLeaving,
     kLeavingHold - milliseconds(1),
     TargetState::kLeaving},
    {"left and failed",
     {AttemptOutcome::kLeaving, AttemptOutcome::kFailed,
      AttemptOutcome::kFailed, AttemptOutcome::kFailed},
     TargetState::kLeaving,
     kEjectionFirst,
     TargetState::kLeaving},
    {"refused again while leaving",
     {AttemptOutcome::kLeaving, AttemptOutcome::kRefused},
     TargetState::kLeaving,
     kRefusedPause,
     TargetState::kLeaving},
    {"accepts and never answers",
     {AttemptOutcome::kSilent},
     TargetState::kEjected,
     kEjectionFirst,
     TargetState::kReturning},
    {"refuses again and again",
     {AttemptOutcome::kRefused, AttemptOutcome::kRefused,
      AttemptOutcome::kRefused},
     TargetState::kEjected,
     kRefusedPause,
     TargetState::kEjected},
    {"caller went away",
     {AttemptOutcome::kNoVerdict, AttemptOutcome::kNoVerdict,
      AttemptOutcome::kNoVerdict},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
};

}  // namespace

TEST_GROUP(TargetHealth){};

TEST(TargetHealth, FaultTable) {
  for (const FaultCase& it : kCases) {
    TargetHealth health;
    for (AttemptOutcome answer : it.answers) {
      if (health.Note(answer, kStart))
        health.Eject(kStart);
    }
    CHECK_TEXT(it.at_once == health.State(kStart), it.name);
    CHECK_TEXT(it.afterwards == health.State(kStart + it.later), it.name);
  }
}

TEST(TargetHealth, FlappingIsEjectedForLonger) {
  TargetHealth health;
  health.Eject(kStart);
  auto now = kStart + kEjectionFirst;
  health.Eject(now);
  CHECK(health.State(now + kEjectionFirst) == TargetState::kEjected);
  for (int n = 0; n < 20; ++n)
    health.Eject(now);
  CHECK(health.State(now + kEjectionMost) == TargetState::kReturning);
}

// Good answers in the slow start do not make up for the ejection yet.
TEST(TargetHealth, FlappingBetweenGoodAnswersIsEjectedForLonger) {
  TargetHealth health;
  health.Eject(kStart);
  auto now = kStart + kEjectionFirst + milliseconds(1);
  health.Note(AttemptOutcome::kGood, now);
  bool eject = false;
  for (int n = 0; n < kFailuresToEject; ++n)
    eject = health.Note(AttemptOutcome::kFailed, now);
  CHECK(eject);
  health.Eject(now);
  CHECK(health.State(now + kEjectionFirst) == TargetState::kEjected);
  now += 2 * kEjectionFirst + kSlowStart;
  health.Note(AttemptOutcome::kGood, now);
  health.Eject(now);
  CHECK(health.State(now + kEjectionFirst) == TargetState::kReturning);
}

TEST(TargetHealth, ReturnsSlowly) {
  TargetHealth health;
  health.Eject(kStart);
  const auto back = kStart + kEjectionFirst;
  DOUBLES_EQUAL(kSlowStartLeast, health.Share(back), 1e-9);
  DOUBLES_EQUAL(0.5, health.Share(back + kSlowStart / 2), 1e-9);
  DOUBLES_EQUAL(1, health.Share(back + kSlowStart), 1e-9);
}

}  // namespace turmericwinch
