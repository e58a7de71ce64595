#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "budget/invariant_run.h"

namespace turmericwinch {

namespace {

constexpr int kSeeds = 60;
constexpr int kSteps = 800;
// Set the number of seeds and the first one for a long run.
constexpr char kSeedsVariable[] = "TURMERICWINCH_TEST_SEEDS";
constexpr char kFirstVariable[] = "TURMERICWINCH_TEST_FIRST_SEED";

int Setting(const char* variable, int otherwise) {
  const char* text = std::getenv(variable);
  return text ? std::atoi(text) : otherwise;
}

}  // namespace

TEST_GROUP(Invariants){};

TEST(Invariants, HoldForEverySeed) {
  const int first = Setting(kFirstVariable, 1);
  const int last = first + Setting(kSeedsVariable, kSeeds) - 1;
  for (int seed = first; seed <= last; ++seed) {
    const std::string violated =
        RunInvariants(static_cast<std::uint64_t>(seed), kSteps);
    const std::string text = "seed " + std::to_string(seed) + ": " + violated;
    CHECK_TEXT(violated.empty(), text.c_str());
  }
}

}  // namespace turmericwinch
