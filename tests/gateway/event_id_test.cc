#include "libs/gateway/event_id.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(EventId){};

TEST(EventId, IdsOfAnySizeAreComparedByTheirNumbers) {
  const char* const increasing[] = {"0",
                                    "1",
                                    "007",
                                    "10",
                                    "99",
                                    "100",
                                    "18446744073709551615",
                                    "18446744073709551616"};
  for (std::size_t n = 1; n < std::size(increasing); ++n) {
    CHECK(*EventId::Parse(increasing[n - 1]) < *EventId::Parse(increasing[n]));
    CHECK(!(*EventId::Parse(increasing[n]) < *EventId::Parse(increasing[n])));
  }
  CHECK(*EventId::Parse("007") == *EventId::Parse("7"));
  CHECK(*EventId::Parse("000") == *EventId::Parse("0"));
  STRCMP_EQUAL("007", EventId::Parse("007")->text().c_str());
}

// A part of an id that counts as the whole would make two events one.
TEST(EventId, WhatIsNoDecimalNumberIsNoId) {
  for (const char* text : {"", " 1", "-1", "1.5", "1e3", "12a", "a12"})
    CHECK_TEXT(!EventId::Parse(text), text);
  CHECK(EventId::Parse(std::string(kMaxEventIdDigits, '9')).has_value());
  CHECK(!EventId::Parse(std::string(kMaxEventIdDigits + 1, '9')));
}

}  // namespace turmericwinch
