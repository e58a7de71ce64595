#include "libs/delivery/idempotency_keys.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using Time = IdempotencyKeys::Time;

constexpr Time kStart{};

}  // namespace

TEST_GROUP(IdempotencyKeys) {
  IdempotencyKeys keys;

  KeyVerdict Begin(const std::string& name, Time now = kStart) {
    return keys.BeginRun(name, "body", now);
  }
};

TEST(IdempotencyKeys, OnlyTheFirstRuns) {
  CHECK(KeyVerdict::kRun == Begin("a"));
  CHECK(KeyVerdict::kJoin == Begin("a"));
  CHECK(KeyVerdict::kRun == Begin("b"));
  CHECK(KeyVerdict::kReused == keys.BeginRun("a", "other", kStart));
  keys.EndRun("a", true, 10, kStart);
  CHECK(KeyVerdict::kJoin == Begin("a"));
  CHECK(KeyVerdict::kReused == keys.BeginRun("a", "other", kStart));
  LONGS_EQUAL(10, keys.kept_bytes());
}

TEST(IdempotencyKeys, AnAnswerThatIsNotKeptIsForgotten) {
  Begin("a");
  keys.EndRun("a", false, 10, kStart);
  LONGS_EQUAL(1, keys.TakeForgotten().size());
  LONGS_EQUAL(0, keys.TakeForgotten().size());
  CHECK(KeyVerdict::kRun == Begin("a"));
}

TEST(IdempotencyKeys, KeptAnswersExpireAndRunsDoNot) {
  Begin("a");
  Begin("b");
  keys.EndRun("a", true, 10, kStart);
  CHECK(KeyVerdict::kJoin ==
        Begin("a", kStart + kAnswerHold - std::chrono::seconds(1)));
  CHECK(KeyVerdict::kRun == Begin("a", kStart + kAnswerHold));
  CHECK(KeyVerdict::kJoin == Begin("b", kStart + kAnswerHold));
  LONGS_EQUAL(0, keys.kept_bytes());
}

TEST(IdempotencyKeys, TheOldestGoesWhereBytesAreShort) {
  for (const char* it : {"a", "b", "c"}) {
    Begin(it);
    keys.EndRun(it, true, kMostKeptAnswerBytes / 2, kStart);
  }
  LONGS_EQUAL(kMostKeptAnswerBytes, keys.kept_bytes());
  CHECK(KeyVerdict::kJoin == Begin("b"));
  CHECK(KeyVerdict::kRun == Begin("a"));
}

TEST(IdempotencyKeys, KeptAnswersAreBoundedInNumber) {
  for (std::size_t n = 0; n <= kMostKeptAnswers; ++n) {
    Begin(std::to_string(n));
    keys.EndRun(std::to_string(n), true, 0, kStart);
  }
  LONGS_EQUAL(kMostKeptAnswers, keys.size());
}

TEST(IdempotencyKeys, TooManyRunsAreNotJoined) {
  for (std::size_t n = 0; n < kMostKeyedRuns; ++n)
    CHECK(KeyVerdict::kRun == Begin(std::to_string(n)));
  CHECK(KeyVerdict::kRunAlone == Begin("more"));
  CHECK(KeyVerdict::kJoin == Begin("0"));
  keys.EndRun("0", true, 1, kStart);
  CHECK(KeyVerdict::kRun == Begin("more"));
}

}  // namespace turmericwinch
