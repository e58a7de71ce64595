#include "libs/gateway/response_memory.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(ResponseMemory) {
  ResponseMemory memory;
};

TEST(ResponseMemory, TheSharesOfAllCallsAreBoundedTogether) {
  ResponseShare first(memory);
  ResponseShare second(memory);
  CHECK(first.Resize(kFreeResponseBytes + kMaxResponseMemory));
  LONGS_EQUAL(kMaxResponseMemory, memory.used());
  CHECK(!second.Resize(kFreeResponseBytes + 1));
  CHECK(!first.Resize(kFreeResponseBytes + kMaxResponseMemory + 1));
  CHECK(first.Resize(kFreeResponseBytes + kMaxResponseMemory - 1));
  CHECK(second.Resize(kFreeResponseBytes + 1));
}

TEST(ResponseMemory, ASmallResponseNeedsNoShare) {
  ResponseShare large(memory);
  CHECK(large.Resize(kFreeResponseBytes + kMaxResponseMemory));
  ResponseShare small(memory);
  CHECK(small.Resize(kFreeResponseBytes));
}

TEST(ResponseMemory, AShareIsReleasedWithItsCall) {
  {
    ResponseShare share(memory);
    CHECK(share.Resize(kFreeResponseBytes + 5));
    LONGS_EQUAL(5, memory.used());
  }
  LONGS_EQUAL(0, memory.used());
}

}  // namespace turmericwinch
