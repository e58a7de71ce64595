#include "libs/routing/prefix_record.h"

#include <CppUTest/TestHarness.h>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

const PrefixRecord::TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

TEST_GROUP(PrefixRecord) {
  PrefixRecord record;
};

TEST(PrefixRecord, LastHolderComesFirst) {
  record.Note(7, 1, kStart);
  record.Note(7, 2, kStart);
  record.Note(7, 1, kStart);
  const auto holders = record.Holders(7, kStart);
  LONGS_EQUAL(2, holders.size());
  LONGS_EQUAL(1, holders[0]);
}

TEST(PrefixRecord, StaysBounded) {
  for (std::uint64_t n = 0; n < kMostPrefixes + 10; ++n)
    record.Note(n, 1, kStart);
  for (std::uint64_t n = 0; n < kMostHolders + 3; ++n)
    record.Note(kMostPrefixes, n, kStart);
  LONGS_EQUAL(kMostPrefixes, record.size());
  LONGS_EQUAL(0, record.Holders(0, kStart).size());
  LONGS_EQUAL(kMostHolders, record.Holders(kMostPrefixes, kStart).size());
}

TEST(PrefixRecord, Ages) {
  record.Note(7, 1, kStart);
  LONGS_EQUAL(0, record.Holders(7, kStart + kPrefixAge).size());
}

}  // namespace turmericwinch
