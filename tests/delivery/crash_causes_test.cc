#include "libs/delivery/crash_causes.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

constexpr PromptPartId kRoot = 1;
constexpr PromptPartId kTeam = 2;
constexpr PromptPartId kDeadly = 3;
constexpr PromptPartId kOther = 4;

using Parts = std::vector<PromptPartId>;
using Time = std::chrono::steady_clock::time_point;

// Time between crashes with requests that were sent one after the other, and
// the time that such a request spent at its target.
constexpr std::chrono::milliseconds kInterval{500};
constexpr std::chrono::milliseconds kTimeAtTarget{40};

}  // namespace

TEST_GROUP(CrashCauses) {
  Time now{std::chrono::hours(1)};
  std::vector<RecordedCrash> crashes;
  std::set<PromptPartId> known;
  // Times of the last whole answers, and parts whose answers began.
  std::map<PromptPartId, Time> answered;
  std::set<PromptPartId> begun;
  int requests = 0;

  // Adds the crash of a new target with one request for each list of parts. The
  // requests were sent a moment before it.
  void Crash(const std::vector<Parts>& lost) {
    now += kInterval;
    AddCrash(lost, now - kTimeAtTarget);
  }

  // Adds crashes at the same time, as after a loss of power: all their requests
  // were sent before the first of them.
  void CrashAtOnce(const std::vector<Parts>& lost, int count) {
    now += kInterval;
    const Time sent = now - kTimeAtTarget;
    for (int n = 0; n < count; ++n) {
      now += kTimeAtTarget;
      AddCrash(lost, sent);
    }
  }

  void AddCrash(const std::vector<Parts>& lost, Time sent) {
    RecordedCrash crash{"t" + std::to_string(crashes.size()), now, {}};
    for (const Parts& it : lost) {
      crash.losses.push_back({{"d" + std::to_string(++requests), it}, sent});
    }
    crashes.push_back(crash);
  }

  PartAnswers Answers() {
    return {[this](PromptPartId part) {
              auto it = answered.find(part);
              return it == answered.end() ? std::optional<Time>() : it->second;
            },
            [this](PromptPartId part) { return begun.contains(part); }};
  }

  Parts Causes() {
    return FindCrashCauses(crashes, known, Answers());
  }
};

TEST(CrashCauses, APartIsBlamedAfterThreeCrashes) {
  Crash({{kRoot, kDeadly}});
  Crash({{kRoot, kDeadly}});
  CHECK(Causes().empty());
  Crash({{kRoot, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

TEST(CrashCauses, PartsAnsweredAfterTheCrashesAreNotBlamed) {
  for (int n = 0; n < 5; ++n)
    Crash({{kRoot, kDeadly}});
  answered = {{kRoot, now}, {kDeadly, now}};
  CHECK(Causes().empty());
}

TEST(CrashCauses, PartsAnsweredBetweenTheCrashesAreNotBlamed) {
  for (int n = 0; n < 3; ++n) {
    Crash({{kRoot, kDeadly}});
    answered[kRoot] = answered[kDeadly] = now + kTimeAtTarget;
    CHECK(Causes().empty());
  }
}

// A part that targets have answered may begin to crash them.
TEST(CrashCauses, AnAnswerBeforeTheCrashesDoesNotClearAPart) {
  answered = {{kRoot, now}, {kDeadly, now}};
  Crash({{kRoot, kDeadly}});
  Crash({{kRoot, kDeadly}});
  CHECK(Causes().empty());
  Crash({{kRoot, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

// A part may crash a target after some events of the answer.
TEST(CrashCauses, AnAnswerThatBeganDoesNotClearAPart) {
  begun = {kRoot, kDeadly};
  for (int n = 0; n < 3; ++n)
    Crash({{kRoot, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

// A loss of power ends many targets that are answering the same sound parts.
TEST(CrashCauses, PartsWithAnswersAreNotBlamedForCrashesAtTheSameTime) {
  answered = {{kRoot, now}};
  begun = {kTeam};
  CrashAtOnce({{kRoot, kTeam}, {kRoot, kTeam}}, 9);
  CHECK(Causes().empty());
}

// Two more targets fail before this host sees the next answer.
TEST(CrashCauses, CrashesAtTheSameTimeCountOnceForPartsWithAnswers) {
  answered = {{kRoot, now}, {kTeam, now}};
  CrashAtOnce({{kRoot, kTeam}, {kRoot, kTeam}}, 9);
  Crash({{kRoot, kTeam}});
  CHECK(Causes().empty());
  Crash({{kRoot, kTeam}});
  CHECK(Causes() == Parts({kTeam}));
}

// The report of another host comes later, so that its requests seem to have
// been sent later.
TEST(CrashCauses, ACrashCountsOnceForPartsWithAnswers) {
  answered = {{kTeam, now}};
  for (int n = 0; n < 2; ++n) {
    Crash({{kTeam}, {kTeam}, {kTeam}});
    for (RecordedLoss& it : crashes.back().losses)
      it.sent = now;
  }
  CHECK(Causes().empty());
}

TEST(CrashCauses, TheReportingHostMayHaveSeenTheAnswerBegin) {
  CrashAtOnce({{kTeam}, {kTeam}}, 5);
  for (RecordedCrash& crash : crashes) {
    for (RecordedLoss& it : crash.losses)
      it.request.working_parts = {kTeam};
  }
  CHECK(Causes().empty());
}

TEST(CrashCauses, APartWithoutAnswersIsBlamedForCrashesAtTheSameTime) {
  answered = {{kRoot, now}};
  CrashAtOnce({{kRoot, kDeadly}}, 3);
  CHECK(Causes() == Parts({kDeadly}));
}

// Requests with the sound part are lost in more crashes than those with the
// deadly one, and this host saw its last answer before all of them.
TEST(CrashCauses, APartWithoutAnswersIsBlamedBeforeOneThatWasAnswered) {
  answered = {{kRoot, now}};
  Crash({{kRoot}});
  for (int n = 0; n < 3; ++n)
    Crash({{kRoot, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

// Sound requests of the same team wait at the targets that crash.
TEST(CrashCauses, PartsOfSoundRequestsLostInTheSameCrashesAreNotBlamed) {
  for (int n = 0; n < 5; ++n) {
    Crash({{kRoot, kTeam, kDeadly},
           {kRoot, kTeam},
           {kRoot, kTeam, kOther},
           {kRoot, kTeam, kOther}});
  }
  CHECK(Causes().size() == 1);
  Crash({{kRoot, kTeam, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

TEST(CrashCauses, TwoDeadlyPartsAreBothBlamed) {
  for (int n = 0; n < 3; ++n) {
    Crash({{kRoot, kTeam, kDeadly}});
    Crash({{kRoot, kOther}});
  }
  answered = {{kRoot, now}, {kTeam, now}};
  const Parts causes = Causes();
  LONGS_EQUAL(2, causes.size());
  CHECK(std::set<PromptPartId>(causes.begin(), causes.end()) ==
        std::set<PromptPartId>({kDeadly, kOther}));
}

// A request that is retried at several crashing targets says nothing about
// others with the same part.
TEST(CrashCauses, RetriesOfOneRequestCountOnce) {
  for (int n = 0; n < 5; ++n) {
    crashes.push_back(
        {"t" + std::to_string(n), now, {{{"same", {kDeadly}}, now}}});
  }
  CHECK(Causes().empty());
}

TEST(CrashCauses, CrashesOfAKnownPartCountForNoOther) {
  known = {kDeadly};
  for (int n = 0; n < 5; ++n)
    Crash({{kTeam, kDeadly}, {kTeam, kOther}});
  CHECK(Causes().empty());
  for (int n = 0; n < 3; ++n)
    Crash({{kTeam, kOther}});
  CHECK(Causes() == Parts({kOther}));
}

}  // namespace turmericwinch
