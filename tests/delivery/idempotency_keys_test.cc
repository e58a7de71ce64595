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

  KeyVerdict BeginRun(const std::string& name, Time now = kStart) {
    return keys.BeginRun(name, "body", now);
  }
};

TEST(IdempotencyKeys, OnlyTheFirstRequestRuns) {
  CHECK(KeyVerdict::kRun == BeginRun("a"));
  CHECK(KeyVerdict::kJoin == BeginRun("a"));
  CHECK(KeyVerdict::kRun == BeginRun("b"));
  CHECK(KeyVerdict::kReused == keys.BeginRun("a", "other", kStart));
  keys.EndRun("a", true, 10, kStart);
  CHECK(KeyVerdict::kJoin == BeginRun("a"));
  CHECK(KeyVerdict::kReused == keys.BeginRun("a", "other", kStart));
  LONGS_EQUAL(10, keys.kept_bytes());
}

TEST(IdempotencyKeys, RunWithoutKeptAnswerIsRemoved) {
  BeginRun("a");
  keys.EndRun("a", false, 10, kStart);
  LONGS_EQUAL(1, keys.TakeForgotten().size());
  LONGS_EQUAL(0, keys.TakeForgotten().size());
  CHECK(KeyVerdict::kRun == BeginRun("a"));
}

TEST(IdempotencyKeys, EndedRunsExpireAndActiveRunsDoNot) {
  BeginRun("a");
  BeginRun("b");
  keys.EndRun("a", true, 10, kStart);
  CHECK(KeyVerdict::kJoin ==
        BeginRun("a", kStart + kAnswerHold - std::chrono::seconds(1)));
  CHECK(KeyVerdict::kRun == BeginRun("a", kStart + kAnswerHold));
  CHECK(KeyVerdict::kJoin == BeginRun("b", kStart + kAnswerHold));
  LONGS_EQUAL(0, keys.kept_bytes());
}

TEST(IdempotencyKeys, OldestRunIsEvictedAboveTheByteLimit) {
  for (const char* it : {"a", "b", "c"}) {
    BeginRun(it);
    keys.EndRun(it, true, kMaxKeptAnswerBytes / 2, kStart);
  }
  LONGS_EQUAL(kMaxKeptAnswerBytes, keys.kept_bytes());
  CHECK(KeyVerdict::kJoin == BeginRun("b"));
  CHECK(KeyVerdict::kRun == BeginRun("a"));
}

TEST(IdempotencyKeys, NumberOfKeptAnswersIsBounded) {
  for (std::size_t n = 0; n <= kMaxKeptAnswers; ++n) {
    BeginRun(std::to_string(n));
    keys.EndRun(std::to_string(n), true, 0, kStart);
  }
  LONGS_EQUAL(kMaxKeptAnswers, keys.size());
}

TEST(IdempotencyKeys, RunsAboveTheLimitAreNotJoined) {
  for (std::size_t n = 0; n < kMaxKeyedRuns; ++n)
    CHECK(KeyVerdict::kRun == BeginRun(std::to_string(n)));
  CHECK(KeyVerdict::kRunAlone == BeginRun("more"));
  CHECK(KeyVerdict::kJoin == BeginRun("0"));
  keys.EndRun("0", true, 1, kStart);
  CHECK(KeyVerdict::kRun == BeginRun("more"));
}

}  // namespace turmericwinch
