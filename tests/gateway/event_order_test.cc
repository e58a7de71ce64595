#include "libs/gateway/event_order.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(EventOrder) {
  EventOrder order;
};

TEST(EventOrder, EachEventPassesOnceAndNoneIsSkipped) {
  CHECK(order.CheckNext(1) == EventVerdict::kPass);
  CHECK(order.CheckNext(2) == EventVerdict::kPass);
  // Another target resumes with a repeated event, then with a later one than
  // the next.
  CHECK(order.CheckNext(2) == EventVerdict::kRepeated);
  CHECK(order.CheckNext(4) == EventVerdict::kMissing);
  CHECK(order.CheckNext(3) == EventVerdict::kPass);
  LONGS_EQUAL(3, *order.last_id());
  LONGS_EQUAL(3, order.passed());
}

TEST(EventOrder, AStreamMayStartAtAnyIdAndContainEventsWithoutIds) {
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kPass);
  CHECK(order.CheckNext(17) == EventVerdict::kPass);
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kPass);
  CHECK(order.CheckNext(18) == EventVerdict::kPass);
}

TEST(EventOrder, EventZeroIsAnEventLikeOthers) {
  CHECK(!order.last_id());
  CHECK(order.CheckNext(0) == EventVerdict::kPass);
  LONGS_EQUAL(0, *order.last_id());
  CHECK(order.CheckNext(0) == EventVerdict::kRepeated);
  CHECK(order.CheckNext(2) == EventVerdict::kMissing);
  CHECK(order.CheckNext(1) == EventVerdict::kPass);
  EventOrder resumed;
  resumed.StartAfter(0);
  CHECK(resumed.CheckNext(0) == EventVerdict::kRepeated);
  CHECK(resumed.CheckNext(1) == EventVerdict::kPass);
}

TEST(EventOrder, AStreamThatTheCallerResumesContinuesAfterItsLastEvent) {
  order.StartAfter(7);
  CHECK(order.CheckNext(7) == EventVerdict::kRepeated);
  CHECK(order.CheckNext(9) == EventVerdict::kMissing);
  CHECK(order.CheckNext(8) == EventVerdict::kPass);
}

}  // namespace turmericwinch
