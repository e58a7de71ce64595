#include "libs/base/store_version.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr std::uint64_t kMax = ~std::uint64_t{0};
constexpr std::uint64_t kPackedLimit = 1'000'000'000'000;

}  // namespace

TEST_GROUP(StoreVersion){};

TEST(StoreVersion, ALaterEraIsHigherWhateverTheRevision) {
  CHECK((StoreVersion{0, kMax} < StoreVersion{1, 0}));
  CHECK((StoreVersion{1, kMax} < StoreVersion{2, 1}));
  CHECK((StoreVersion{2, 1} < StoreVersion{2, kMax}));
  CHECK((StoreVersion{0, kPackedLimit} < StoreVersion{0, kPackedLimit + 1}));
  CHECK(!StoreVersion().IsSet());
  CHECK((StoreVersion{1, 0}.IsSet() && StoreVersion{0, 1}.IsSet()));
}

TEST(StoreVersion, TheTextHoldsBothNumbers) {
  STRCMP_EQUAL("12", ToText({0, 12}).c_str());
  STRCMP_EQUAL("1000000000012", ToText({0, kPackedLimit + 12}).c_str());
  STRCMP_EQUAL("3.18446744073709551615", ToText({3, kMax}).c_str());
}

// Guards against a packed version that another host reads as another one.
TEST(StoreVersion, OnlyWhatCanBeUnpackedIsPacked) {
  for (const std::uint64_t era :
       {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{9'223'370},
        std::uint64_t{9'223'371}, std::uint64_t{9'223'372}, kMax}) {
    for (const std::uint64_t revision :
         {std::uint64_t{0}, std::uint64_t{1}, kPackedLimit - 1, kPackedLimit,
          kMax}) {
      const StoreVersion version{era, revision};
      const std::optional<std::int64_t> packed = PackVersion(version);
      CHECK(packed.has_value() ==
            (era <= 9'223'371 && revision < kPackedLimit));
      if (packed)
        CHECK(UnpackVersion(static_cast<std::uint64_t>(*packed)) == version);
    }
  }
}

}  // namespace turmericwinch
