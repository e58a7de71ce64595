#include "libs/node/shared_limits.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(SharedLimits){};

TEST(SharedLimits, MovedSlotIsReleasedOnce) {
  const LimitConfig limit{"few", "team", "", 0, 1, 0};
  SharedLimits limits;
  Reason reason;
  {
    auto slot = limits.Admit({&limit}, 1, &reason);
    CHECK(slot.has_value());
    const InFlightSlot moved(std::move(*slot));
    slot.reset();
    CHECK_FALSE(limits.Admit({&limit}, 1, &reason).has_value());
  }
  CHECK(limits.Admit({&limit}, 1, &reason).has_value());
}

}  // namespace turmericwinch
