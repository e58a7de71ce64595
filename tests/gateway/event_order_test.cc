#include "libs/gateway/event_order.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace turmericwinch {

namespace {

std::optional<EventId> Id(int id) {
  return EventId::Parse(std::to_string(id));
}

}  // namespace

TEST_GROUP(EventOrder) {
  EventOrder order;

  EventVerdict Check(int id) {
    return order.CheckNext(Id(id));
  }
};

TEST(EventOrder, EachEventPassesOnce) {
  CHECK(Check(1) == EventVerdict::kPass);
  CHECK(Check(2) == EventVerdict::kPass);
  CHECK(Check(2) == EventVerdict::kRepeated);
  CHECK(Check(9) == EventVerdict::kPass);
  STRCMP_EQUAL("9", order.last_id()->text().c_str());
  LONGS_EQUAL(3, order.passed());
}

TEST(EventOrder, AStreamMayStartAtAnyIdAndContainEventsWithoutIds) {
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kPass);
  CHECK(Check(17) == EventVerdict::kPass);
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kPass);
  CHECK(Check(18) == EventVerdict::kPass);
}

TEST(EventOrder, EventZeroIsAnEventLikeOthers) {
  CHECK(!order.last_id());
  CHECK(Check(0) == EventVerdict::kPass);
  STRCMP_EQUAL("0", order.last_id()->text().c_str());
  CHECK(Check(0) == EventVerdict::kRepeated);
  CHECK(Check(1) == EventVerdict::kPass);
  EventOrder resumed;
  resumed.StartAfter(Id(0));
  CHECK(resumed.CheckNext(Id(0)) == EventVerdict::kRepeated);
  CHECK(resumed.CheckNext(Id(1)) == EventVerdict::kPass);
}

TEST(EventOrder, AStreamThatTheCallerResumesContinuesAfterItsLastEvent) {
  order.StartAfter(Id(7));
  order.BeginTarget();
  CHECK(!order.awaits_last());
  STRCMP_EQUAL("7", order.resume_after()->text().c_str());
  CHECK(Check(7) == EventVerdict::kRepeated);
  CHECK(Check(9) == EventVerdict::kPass);
  STRCMP_EQUAL("7", order.resume_after()->text().c_str());
}

// What another target sends after the last event of the caller is the next one,
// whatever its id.
TEST(EventOrder, AnotherTargetHasToRepeatTheLastEvent) {
  Check(6);
  STRCMP_EQUAL("6", order.resume_after()->text().c_str());
  Check(12);
  STRCMP_EQUAL("6", order.resume_after()->text().c_str());
  order.BeginTarget();
  CHECK(order.awaits_last());
  CHECK(Check(18) == EventVerdict::kMissing);
  order.BeginTarget();
  // It belongs to the events before the last one.
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kRepeated);
  CHECK(Check(12) == EventVerdict::kRepeated);
  CHECK(!order.awaits_last());
  CHECK(order.CheckNext(std::nullopt) == EventVerdict::kPass);
  CHECK(Check(14) == EventVerdict::kPass);
}

// A target that goes back begins a part of its stream anew.
TEST(EventOrder, IdsThatGoBackMustReachTheLastEventAgain) {
  Check(6);
  Check(12);
  CHECK(Check(6) == EventVerdict::kRepeated);
  CHECK(Check(18) == EventVerdict::kMissing);
  CHECK(Check(12) == EventVerdict::kRepeated);
  CHECK(Check(18) == EventVerdict::kPass);
}

}  // namespace turmericwinch
