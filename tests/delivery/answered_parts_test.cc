#include "libs/delivery/answered_parts.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

TEST_GROUP(AnsweredParts) {
  AnsweredParts parts;
  AnsweredParts::Time now{std::chrono::hours(1)};
};

TEST(AnsweredParts, AnAnswerCountsForATime) {
  parts.Add(1, now);
  CHECK(parts.LastAnswer(1, now) == now);
  CHECK(!parts.LastAnswer(2, now));
  now += kAnsweredPartHold;
  CHECK(!parts.LastAnswer(1, now));
  parts.Add(1, now);
  CHECK(parts.LastAnswer(1, now) == now);
}

TEST(AnsweredParts, AnOlderAnswerThatIsReportedLaterDoesNotReplaceANewerOne) {
  parts.Add(1, now);
  parts.Add(1, now - std::chrono::seconds(1));
  CHECK(parts.LastAnswer(1, now) == now);
}

TEST(AnsweredParts, ThePartThatWasAnsweredLeastRecentlyIsForgotten) {
  for (PromptPartId n = 0; n < kMaxAnsweredParts; ++n)
    parts.Add(n, now);
  parts.Add(0, now);
  parts.Add(kMaxAnsweredParts, now);
  LONGS_EQUAL(kMaxAnsweredParts, parts.size());
  CHECK(parts.LastAnswer(0, now).has_value());
  CHECK(!parts.LastAnswer(1, now).has_value());
}

}  // namespace turmericwinch
