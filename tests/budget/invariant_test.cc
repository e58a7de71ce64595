#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "budget/invariant_run.h"

namespace turmericwinch {

namespace {

constexpr int kSeeds = 60;
constexpr int kSteps = 800;
// Sets the number of seeds for a long run.
constexpr char kSeedsVariable[] = "TURMERICWINCH_TEST_SEEDS";

int Seeds() {
  const char* text = std::getenv(kSeedsVariable);
  return text ? std::atoi(text) : kSeeds;
}

}  // namespace

TEST_GROUP(Invariants){};

TEST(Invariants, HoldForEverySeed) {
  for (int seed = 1; seed <= Seeds(); ++seed) {
    const std::string violated =
        RunInvariants(static_cast<std::uint64_t>(seed), kSteps);
    const std::string text = "seed " + std::to_string(seed) + ": " + violated;
    CHECK_TEXT(violated.empty(), text.c_str());
  }
}

}  // namespace turmericwinch
