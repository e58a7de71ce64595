#include "libs/routing/target_queue.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "support/routing_config.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetTable::TimePoint kStart{seconds(100)};
const TargetTable::TimePoint kFarDeadline = kStart + seconds(3'600);

}  // namespace

TEST_GROUP(TargetQueue) {
  TargetTable table{"a", "host"};
  TargetQueue queue{table};
  Reason reason;
  std::optional<QueueTicket> ticket;

  void setup() override {
    table.Update({{}, {{"one", "a", "127.0.0.1:1", "1", "any", false}}},
                 SingleClassConfig("llm", 80, 8), kStart);
    RaiseLimit();
  }
  // Timely first tokens raise the concurrency limit to the configured one.
  void RaiseLimit() {
    for (int round = 0; round < 4; ++round) {
      std::vector<TargetChoice> choices;
      for (int n = 0; n < 8; ++n)
        choices.push_back(
            *table.BeginAttempt({"llm", 100}, {}, kStart, &reason));
      for (TargetChoice& it : choices) {
        table.RecordFirstToken(it, milliseconds(100), kStart);
        table.EndAttempt(it, AttemptOutcome::kGood, {}, kStart);
      }
    }
  }
  std::optional<TargetChoice> Begin(const char* team,
                                    TargetTable::TimePoint now = kStart) {
    RoutingRequest request{"llm", 100};
    request.team = team;
    request.limited = true;
    ticket.reset();
    return queue.BeginOrEnqueue(request, kFarDeadline, now, &ticket, &reason);
  }
  // Begins `n` requests and returns how many start at once.
  int Flood(int n) {
    int started = 0;
    for (int it = 0; it < n; ++it)
      started += Begin("flood") ? 1 : 0;
    return started;
  }
};

TEST(TargetQueue, FloodLeavesRoomForAnActiveTeam) {
  auto calm = Begin("calm");
  CHECK(calm.has_value());
  table.EndAttempt(*calm, AttemptOutcome::kGood, {}, kStart);
  LONGS_EQUAL(7, Flood(40));
  CHECK(ticket.has_value());
  CHECK(Begin("calm").has_value());
}

TEST(TargetQueue, FloodIsBoundedByTheConcurrencyLimit) {
  auto calm = Begin("calm");
  table.RecordFirstToken(*calm, seconds(1), kStart + seconds(2));
  table.EndAttempt(*calm, AttemptOutcome::kGood, {}, kStart);
  LONGS_EQUAL(6, Flood(40));
  CHECK(Begin("calm").has_value());
}

TEST(TargetQueue, OnlyTeamMayUseTheWholeLimit) {
  LONGS_EQUAL(8, Flood(40));
}

TEST(TargetQueue, TeamWithinItsShareIsNotBlockedByAQueuedTeam) {
  auto other = Begin("calm");
  std::optional<TargetChoice> flood = Begin("flood");
  LONGS_EQUAL(5, Flood(40));
  CHECK(Begin("calm").has_value());
  table.EndAttempt(*other, AttemptOutcome::kGood, {}, kStart);
  CHECK(queue.DequeueReady(kStart).empty());
  CHECK(Begin("calm").has_value());
  table.EndAttempt(*flood, AttemptOutcome::kGood, {}, kStart);
  CHECK(queue.DequeueReady(kStart).empty());
  UNSIGNED_LONGS_EQUAL(35, queue.Sizes()["llm"]);
}

TEST(TargetQueue, StartsQueuedRequestWhenTargetHasRoom) {
  auto first = Begin("flood");
  LONGS_EQUAL(7, Flood(10));
  const QueueTicket last = *ticket;
  table.EndAttempt(*first, AttemptOutcome::kGood, {}, kStart);
  auto starts = queue.DequeueReady(kStart + milliseconds(10));
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("one", starts[0].choice->name.c_str());
  queue.Remove(last);
  UNSIGNED_LONGS_EQUAL(1, queue.Sizes()["llm"]);
}

TEST(TargetQueue, UnknownServiceIsRejectedWithoutQueuing) {
  table.Update({}, SingleClassConfig("llm", 80, 8), kStart);
  CHECK_FALSE(Begin("calm").has_value());
  CHECK_FALSE(ticket.has_value());
  CHECK(reason.code == ResultCode::kNoTarget);
}

}  // namespace turmericwinch
