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

TEST(PrefixRecord, MostRecentTargetComesFirst) {
  record.RecordSent(7, 1, kStart);
  record.RecordSent(7, 2, kStart);
  record.RecordSent(7, 1, kStart);
  const auto targets = record.RecentTargets(7, kStart);
  LONGS_EQUAL(2, targets.size());
  LONGS_EQUAL(1, targets[0]);
}

TEST(PrefixRecord, SizeIsBounded) {
  for (std::uint64_t n = 0; n < kMaxPrefixes + 10; ++n)
    record.RecordSent(n, 1, kStart);
  for (std::uint64_t n = 0; n < kMaxTargetsPerPrefix + 3; ++n)
    record.RecordSent(kMaxPrefixes, n, kStart);
  LONGS_EQUAL(kMaxPrefixes, record.size());
  LONGS_EQUAL(0, record.RecentTargets(0, kStart).size());
  LONGS_EQUAL(kMaxTargetsPerPrefix,
              record.RecentTargets(kMaxPrefixes, kStart).size());
}

TEST(PrefixRecord, EntriesExpire) {
  record.RecordSent(7, 1, kStart);
  LONGS_EQUAL(0, record.RecentTargets(7, kStart + kPrefixLifetime).size());
}

}  // namespace turmericwinch
