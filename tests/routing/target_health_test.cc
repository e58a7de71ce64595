#include "libs/routing/target_health.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

const TargetHealth::TimePoint kStart{std::chrono::seconds(100)};

struct HealthCase {
  const char* name;
  std::vector<AttemptOutcome> outcomes;
  // States just after the outcomes and `delay` later.
  TargetState immediate;
  milliseconds delay;
  TargetState delayed;
};

const std::vector<HealthCase> kCases = {
    {"one failure",
     {AttemptOutcome::kFailed},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
    {"failures separated by a good answer",
     {AttemptOutcome::kFailed, AttemptOutcome::kFailed, AttemptOutcome::kGood,
      AttemptOutcome::kFailed, AttemptOutcome::kFailed},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
    {"consecutive failures",
     {AttemptOutcome::kFailed, AttemptOutcome::kWrong, AttemptOutcome::kSlow},
     TargetState::kEjected,
     kFirstEjection,
     TargetState::kReturning},
    {"refused connection",
     {AttemptOutcome::kRefused},
     TargetState::kPaused,
     kRefusedPause,
     TargetState::kReturning},
    {"announced that it is leaving",
     {AttemptOutcome::kLeaving},
     TargetState::kLeaving,
     kLeavingHold - milliseconds(1),
     TargetState::kLeaving},
    {"leaving and failing",
     {AttemptOutcome::kLeaving, AttemptOutcome::kFailed,
      AttemptOutcome::kFailed, AttemptOutcome::kFailed},
     TargetState::kLeaving,
     kFirstEjection,
     TargetState::kLeaving},
    {"refused again while leaving",
     {AttemptOutcome::kLeaving, AttemptOutcome::kRefused},
     TargetState::kLeaving,
     kRefusedPause,
     TargetState::kLeaving},
    {"accepts and never answers",
     {AttemptOutcome::kSilent},
     TargetState::kEjected,
     kFirstEjection,
     TargetState::kReturning},
    {"repeatedly refused connection",
     {AttemptOutcome::kRefused, AttemptOutcome::kRefused,
      AttemptOutcome::kRefused},
     TargetState::kEjected,
     kRefusedPause,
     TargetState::kEjected},
    {"caller disconnected",
     {AttemptOutcome::kNoVerdict, AttemptOutcome::kNoVerdict,
      AttemptOutcome::kNoVerdict},
     TargetState::kServing,
     milliseconds(1),
     TargetState::kServing},
};

}  // namespace

TEST_GROUP(TargetHealth){};

TEST(TargetHealth, StateAfterOutcomes) {
  for (const HealthCase& it : kCases) {
    TargetHealth health;
    for (AttemptOutcome outcome : it.outcomes) {
      if (health.RecordOutcome(outcome, kStart))
        health.Eject(kStart);
    }
    CHECK_TEXT(it.immediate == health.State(kStart), it.name);
    CHECK_TEXT(it.delayed == health.State(kStart + it.delay), it.name);
  }
}

TEST(TargetHealth, RepeatedEjectionsLastLonger) {
  TargetHealth health;
  health.Eject(kStart);
  auto now = kStart + kFirstEjection;
  health.Eject(now);
  CHECK(health.State(now + kFirstEjection) == TargetState::kEjected);
  for (int n = 0; n < 20; ++n)
    health.Eject(now);
  CHECK(health.State(now + kMaxEjection) == TargetState::kReturning);
}

// Good answers during the slow start don't reset the ejection count.
TEST(TargetHealth, GoodAnswersInSlowStartDoNotResetEjections) {
  TargetHealth health;
  health.Eject(kStart);
  auto now = kStart + kFirstEjection + milliseconds(1);
  health.RecordOutcome(AttemptOutcome::kGood, now);
  bool eject = false;
  for (int n = 0; n < kFailuresToEject; ++n)
    eject = health.RecordOutcome(AttemptOutcome::kFailed, now);
  CHECK(eject);
  health.Eject(now);
  CHECK(health.State(now + kFirstEjection) == TargetState::kEjected);
  now += 2 * kFirstEjection + kSlowStart;
  health.RecordOutcome(AttemptOutcome::kGood, now);
  health.Eject(now);
  CHECK(health.State(now + kFirstEjection) == TargetState::kReturning);
}

TEST(TargetHealth, WeightGrowsDuringSlowStart) {
  TargetHealth health;
  health.Eject(kStart);
  const auto back = kStart + kFirstEjection;
  DOUBLES_EQUAL(kMinSlowStartWeight, health.Weight(back), 1e-9);
  DOUBLES_EQUAL(0.5, health.Weight(back + kSlowStart / 2), 1e-9);
  DOUBLES_EQUAL(1, health.Weight(back + kSlowStart), 1e-9);
}

}  // namespace turmericwinch
