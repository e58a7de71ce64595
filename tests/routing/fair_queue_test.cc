#include "libs/routing/fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FairQueue::TimePoint kStart{seconds(100)};
const FairQueue::TimePoint kFarDeadline = kStart + seconds(3'600);

}  // namespace

TEST_GROUP(FairQueue) {
  FairQueue queue;
  Reason reason;
  FairQueue::TimePoint now = kStart;

  std::uint64_t Enqueue(const char* team, int share = 1,
                        std::int64_t tokens = 100) {
    return queue.Enqueue(team, share, tokens, kFarDeadline, now, &reason)
        .value_or(0);
  }
  std::uint64_t StartNext() {
    const std::uint64_t request = queue.Front().value_or(0);
    now += milliseconds(10);
    queue.RemoveStarted(request, now);
    return request;
  }
};

TEST(FairQueue, FloodOfOneTeamDoesNotDelayAnother) {
  for (int n = 0; n < 100; ++n)
    Enqueue("flood", 1, 256);
  StartNext();
  const std::uint64_t calm = Enqueue("calm", 1, 256);
  int starts = 1;
  while (StartNext() != calm)
    ++starts;
  CHECK(starts <= 2);
}

TEST(FairQueue, TeamsStartInProportionToTheirShares) {
  std::set<std::uint64_t> large;
  for (int n = 0; n < 100; ++n) {
    large.insert(Enqueue("large", 3, 256));
    Enqueue("small", 1, 256);
  }
  int of_large = 0;
  for (int n = 0; n < 80; ++n)
    of_large += large.contains(StartNext()) ? 1 : 0;
  LONGS_EQUAL(60, of_large);
}

TEST(FairQueue, LongPromptCountsAsManyShortOnes) {
  std::set<std::uint64_t> lookups;
  for (int n = 0; n < 100; ++n) {
    lookups.insert(Enqueue("lookups", 1, 2'560));
    Enqueue("chats", 1, 256);
  }
  int of_lookups = 0;
  for (int n = 0; n < 88; ++n)
    of_lookups += lookups.contains(StartNext()) ? 1 : 0;
  LONGS_EQUAL(8, of_lookups);
}

TEST(FairQueue, LimitPerTeamDoesNotBlockOtherTeams) {
  for (std::size_t n = 0; n < kMaxQueuedPerTeam; ++n)
    CHECK(Enqueue("flood") != 0);
  UNSIGNED_LONGS_EQUAL(0, Enqueue("flood"));
  CHECK(reason.code == ResultCode::kOverloaded);
  CHECK(Enqueue("calm") != 0);
}

TEST(FairQueue, RejectsRequestThatCannotStartBeforeItsDeadline) {
  for (int n = 0; n < 100; ++n)
    Enqueue("flood", 1, 256);
  for (int n = 0; n < 40; ++n)
    StartNext();
  auto is_rejected = [&](const char* team) {
    return !queue.Enqueue(team, 1, 256, now + milliseconds(200), now, &reason);
  };
  CHECK(is_rejected("flood"));
  CHECK(reason.code == ResultCode::kOverloaded);
  CHECK_FALSE(is_rejected("calm"));
}

TEST(FairQueue, RemoveLeavesNoState) {
  const std::uint64_t one = Enqueue("one");
  const std::uint64_t two = Enqueue("two");
  queue.Remove(one);
  queue.Remove(one);
  UNSIGNED_LONGS_EQUAL(two, StartNext());
  CHECK_FALSE(queue.Front().has_value());
  UNSIGNED_LONGS_EQUAL(0, queue.size());
}

}  // namespace turmericwinch
