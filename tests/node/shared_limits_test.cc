#include "libs/node/shared_limits.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(SharedLimits){};

TEST(SharedLimits, APassEndsOnceThoughItMoved) {
  const LimitConfig limit{"few", "team", "", 0, 1, 0};
  SharedLimits limits;
  Reason reason;
  {
    auto pass = limits.Admit({&limit}, 1, &reason);
    CHECK(pass.has_value());
    const InFlightSlot moved(std::move(*pass));
    pass.reset();
    CHECK_FALSE(limits.Admit({&limit}, 1, &reason).has_value());
  }
  CHECK(limits.Admit({&limit}, 1, &reason).has_value());
}

}  // namespace turmericwinch
