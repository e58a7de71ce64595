#include "libs/delivery/stored_verdict.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(StoredVerdict){};

// Guards against objects of other writers that are taken for expired verdicts
// and deleted.
TEST(StoredVerdict, ObjectsOfOtherWritersAreNoVerdicts) {
  LONGS_EQUAL(17, *ParseVerdictEnd(VerdictText(17)));
  for (const char* it : {"", "null", "[]", "{}", "{\"until_ms\":\"17\"}",
                         "{\"until_ms\":null}", "\"\xff\""})
    CHECK_FALSE_TEXT(ParseVerdictEnd(it).has_value(), it);
}

}  // namespace turmericwinch
