#include "libs/delivery/crash_causes.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

constexpr PromptPartId kRoot = 1;
constexpr PromptPartId kTeam = 2;
constexpr PromptPartId kDeadly = 3;
constexpr PromptPartId kOther = 4;

using Parts = std::vector<PromptPartId>;

}  // namespace

TEST_GROUP(CrashCauses) {
  std::vector<TargetCrash> crashes;
  std::set<PromptPartId> known;
  std::set<PromptPartId> sound;
  int requests = 0;

  // Adds the crash of a new target with one request for each list of parts.
  void Crash(const std::vector<Parts>& lost) {
    TargetCrash crash{"t" + std::to_string(crashes.size()), {}};
    for (const Parts& it : lost)
      crash.requests.push_back({"d" + std::to_string(++requests), it});
    crashes.push_back(crash);
  }

  Parts Causes() {
    return FindCrashCauses(crashes, known, [this](PromptPartId part) {
      return sound.contains(part);
    });
  }
};

TEST(CrashCauses, APartIsBlamedAfterThreeCrashes) {
  Crash({{kRoot, kDeadly}});
  Crash({{kRoot, kDeadly}});
  CHECK(Causes().empty());
  Crash({{kRoot, kDeadly}});
  CHECK(Causes() == Parts({kDeadly}));
}

TEST(CrashCauses, AnsweredPartsAreNotBlamed) {
  sound = {kRoot, kDeadly};
  for (int n = 0; n < 5; ++n)
    Crash({{kRoot, kDeadly}});
  CHECK(Causes().empty());
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
  sound = {kRoot, kTeam};
  for (int n = 0; n < 3; ++n) {
    Crash({{kRoot, kTeam, kDeadly}});
    Crash({{kRoot, kOther}});
  }
  const Parts causes = Causes();
  LONGS_EQUAL(2, causes.size());
  CHECK(std::set<PromptPartId>(causes.begin(), causes.end()) ==
        std::set<PromptPartId>({kDeadly, kOther}));
}

// A request that is retried at several crashing targets says nothing about
// others with the same part.
TEST(CrashCauses, RetriesOfOneRequestCountOnce) {
  for (int n = 0; n < 5; ++n)
    crashes.push_back({"t" + std::to_string(n), {{"same", {kDeadly}}}});
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
