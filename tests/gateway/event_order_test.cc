#include "libs/gateway/event_order.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(EventOrder) {
  EventOrder order;
};

TEST(EventOrder, EachEventPassesOnceAndNoneIsLeftOut) {
  CHECK(order.Take(1) == EventVerdict::kPass);
  CHECK(order.Take(2) == EventVerdict::kPass);
  // Another target goes on too early, and then too late.
  CHECK(order.Take(2) == EventVerdict::kRepeated);
  CHECK(order.Take(4) == EventVerdict::kMissing);
  CHECK(order.Take(3) == EventVerdict::kPass);
  LONGS_EQUAL(3, order.last());
  LONGS_EQUAL(3, order.passed());
}

TEST(EventOrder, AStreamMayBeginAnywhereAndHoldEventsWithoutIds) {
  CHECK(order.Take(std::nullopt) == EventVerdict::kPass);
  CHECK(order.Take(17) == EventVerdict::kPass);
  CHECK(order.Take(std::nullopt) == EventVerdict::kPass);
  CHECK(order.Take(18) == EventVerdict::kPass);
}

TEST(EventOrder, ACallersOwnResumptionCounts) {
  order.StartAfter(7);
  CHECK(order.Take(7) == EventVerdict::kRepeated);
  CHECK(order.Take(9) == EventVerdict::kMissing);
  CHECK(order.Take(8) == EventVerdict::kPass);
}

}  // namespace turmericwinch
