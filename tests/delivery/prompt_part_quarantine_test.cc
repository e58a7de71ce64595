#include "libs/delivery/prompt_part_quarantine.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr PromptPartId kTeam = 2;
constexpr PromptPartId kDeadly = 3;
constexpr milliseconds kStep = kCrashReportTime;

}  // namespace

TEST_GROUP(PromptPartQuarantine) {
  PromptPartQuarantine quarantine;
  PromptPartQuarantine::Time now{std::chrono::hours(1)};
  int crashes = 0;

  std::vector<PromptPartId> Crash() {
    now += kStep;
    const std::string n = std::to_string(++crashes);
    quarantine.OnCrash(
        {"t" + n, {{"d" + n, {kTeam, kDeadly}, {}, milliseconds(1)}}}, now);
    now += kStep;
    return quarantine.QuarantineCauses(now);
  }

  bool IsRefused(const std::vector<PromptPartId>& parts) {
    return quarantine.FindQuarantined(parts, now).has_value();
  }
};

TEST(PromptPartQuarantine, ADeadlyPartIsRefusedAndItsTeamIsServed) {
  Crash();
  Crash();
  CHECK(!IsRefused({kTeam, kDeadly}));
  CHECK(Crash() == std::vector<PromptPartId>({kDeadly}));
  CHECK(IsRefused({kTeam, kDeadly}));
  CHECK(!IsRefused({kTeam}));
  CHECK(Crash().empty());
}

TEST(PromptPartQuarantine, HostsThatSawPartsOfACrashReachTheSameVerdict) {
  PromptPartQuarantine other;
  for (int n = 0; n < 3; ++n) {
    const std::string target = "t" + std::to_string(n);
    const TargetCrash first{target, {{"a", {kTeam}}}};
    const TargetCrash second{target, {{"b" + target, {kTeam, kDeadly}}}};
    now += kStep;
    quarantine.OnCrash(first, now);
    CHECK(quarantine.QuarantineCauses(now).empty());
    quarantine.OnCrash(second, now);
    other.OnCrash(second, now);
    other.OnCrash(first, now);
  }
  now += kStep;
  quarantine.QuarantineCauses(now);
  other.QuarantineCauses(now);
  CHECK(IsRefused({kDeadly}));
  CHECK(other.FindQuarantined({kDeadly}, now).has_value());
  CHECK(!IsRefused({kTeam}));
  CHECK(!other.FindQuarantined({kTeam}, now).has_value());
}

TEST(PromptPartQuarantine, AnAnswerEndsTheQuarantine) {
  while (Crash().empty()) {
  }
  CHECK(quarantine.OnAnswered({{kTeam}, {kDeadly}}, now) ==
        std::vector<PromptPartId>({kDeadly}));
  CHECK(!IsRefused({kDeadly}));
  CHECK(!quarantine.AddVerdict({kDeadly, kFirstPartHold}, now));
  CHECK(!IsRefused({kDeadly}));
}

// A part may be sound for a time and then crash targets.
TEST(PromptPartQuarantine,
     APartThatWasAnsweredBeforeIsRefusedAfterThreeCrashes) {
  quarantine.OnAnswered({{kTeam}, {kDeadly}}, now);
  Crash();
  Crash();
  CHECK(!IsRefused({kDeadly}));
  CHECK(Crash() == std::vector<PromptPartId>({kDeadly}));
  CHECK(IsRefused({kDeadly}));
  CHECK(!IsRefused({kTeam}));
}

// Each request with the part gets the first events of an answer.
TEST(PromptPartQuarantine, APartWhoseAnswersBeginIsRefusedAfterThreeCrashes) {
  for (int n = 0; n < 3; ++n) {
    CHECK(!IsRefused({kDeadly}));
    quarantine.OnAnswerBegun({kTeam, kDeadly}, now);
    Crash();
  }
  CHECK(IsRefused({kDeadly}));
}

TEST(PromptPartQuarantine,
     AnAnswerOfAnotherHostBeforeTheCrashesChangesNothing) {
  const auto start = now;
  while (Crash().empty()) {
  }
  const auto age = std::chrono::duration_cast<milliseconds>(now - start);
  CHECK(quarantine.OnAnswered({{kDeadly, age}}, now).empty());
  CHECK(IsRefused({kDeadly}));
}

TEST(PromptPartQuarantine, AHostDisprovesAVerdictByAnAnswerAfterTheCrashes) {
  CHECK(!quarantine.Disproof(kDeadly, now).has_value());
  Crash();
  quarantine.OnAnswered({{kTeam}, {kDeadly}}, now);
  now += kStep;
  CHECK(quarantine.Disproof(kDeadly, now) == kStep);
  CHECK(!quarantine.AddVerdict({kDeadly, kFirstPartHold}, now));
  while (Crash().empty()) {
  }
  CHECK(!quarantine.Disproof(kDeadly, now).has_value());
}

// A host without news of the crashes cannot know what the answer proves.
TEST(PromptPartQuarantine, AHostThatKnowsNoCrashAcceptsAVerdict) {
  quarantine.OnAnswered({{kDeadly}}, now);
  CHECK(quarantine.AddVerdict({kDeadly, kFirstPartHold}, now));
}

TEST(PromptPartQuarantine, AQuarantineEndsAndOneMoreCrashRenewsItForLonger) {
  while (Crash().empty()) {
  }
  now += kFirstPartHold;
  CHECK(!IsRefused({kDeadly}));
  CHECK(!Crash().empty());
  now += kFirstPartHold;
  CHECK(IsRefused({kDeadly}));
  now += kFirstPartHold;
  CHECK(!IsRefused({kDeadly}));
}

TEST(PromptPartQuarantine, AVerdictOfAnotherHostHoldsForItsRemainingTime) {
  CHECK(quarantine.AddVerdict({kDeadly, kStep}, now));
  CHECK(!quarantine.AddVerdict({kDeadly, kStep}, now));
  CHECK(IsRefused({kTeam, kDeadly}));
  LONGS_EQUAL(1, quarantine.Verdicts(now).size());
  LONGS_EQUAL(kStep.count(), quarantine.Verdicts(now)[0].hold.count());
  now += kStep;
  CHECK(!IsRefused({kDeadly}));
  CHECK(quarantine.Verdicts(now).empty());
}

TEST(PromptPartQuarantine, EvidenceIsBounded) {
  for (std::size_t n = 0; n < 2 * kMaxRecordedCrashes; ++n)
    quarantine.OnCrash({"t" + std::to_string(n), {{"same", {kDeadly}}}}, now);
  CHECK(quarantine.QuarantineCauses(now + kStep).empty());
  CHECK(!IsRefused({kDeadly}));
  for (PromptPartId n = 0; n < 2 * kMaxQuarantinedParts; ++n)
    quarantine.AddVerdict({n, kStep}, now);
  LONGS_EQUAL(kMaxQuarantinedParts, quarantine.Verdicts(now).size());
}

}  // namespace turmericwinch
