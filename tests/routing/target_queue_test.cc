#include "libs/routing/target_queue.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>
#include <vector>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetTable::TimePoint kStart{seconds(100)};
const TargetTable::TimePoint kFar = kStart + seconds(3'600);

ConfigSnapshot Config() {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass, "any",
           boost::json::parse(R"({"service":"llm","tokens_per_second":80,
             "most_in_flight":8})")
               .as_object(),
           ""});
  return {1, "digest", set};
}

}  // namespace

TEST_GROUP(TargetQueue) {
  TargetTable table{"a", "host"};
  TargetQueue queue{table};
  Reason reason;
  std::optional<QueueTicket> ticket;

  void setup() override {
    table.Update({{}, {{"one", "a", "127.0.0.1:1", "1", "any", false}}},
                 Config(), kStart);
    RaiseLimit();
  }
  // Answers in time raise the learnt limit to all that is configured.
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
    RoutingRequest wish{"llm", 100};
    wish.team = team;
    wish.limited = true;
    ticket.reset();
    return queue.BeginOrEnqueue(wish, kFar, now, &ticket, &reason);
  }
  // Started at once of `n` requests.
  int Flood(int n) {
    int started = 0;
    for (int it = 0; it < n; ++it)
      started += Begin("flood") ? 1 : 0;
    return started;
  }
};

TEST(TargetQueue, AFloodLeavesRoomForATeamThatIsActive) {
  auto calm = Begin("calm");
  CHECK(calm.has_value());
  table.EndAttempt(*calm, AttemptOutcome::kGood, {}, kStart);
  LONGS_EQUAL(7, Flood(40));
  CHECK(ticket.has_value());
  CHECK(Begin("calm").has_value());
}

TEST(TargetQueue, AFloodIsHeldToTheLearntLimit) {
  auto calm = Begin("calm");
  table.RecordFirstToken(*calm, seconds(1), kStart + seconds(2));
  table.EndAttempt(*calm, AttemptOutcome::kGood, {}, kStart);
  LONGS_EQUAL(6, Flood(40));
  CHECK(Begin("calm").has_value());
}

TEST(TargetQueue, ATeamAloneUsesAll) {
  LONGS_EQUAL(8, Flood(40));
}

TEST(TargetQueue, ATeamWithinItsShareIsNotHeldUpByOneThatWaits) {
  auto other = Begin("calm");
  std::optional<TargetChoice> flooding = Begin("flood");
  LONGS_EQUAL(5, Flood(40));
  CHECK(Begin("calm").has_value());
  table.EndAttempt(*other, AttemptOutcome::kGood, {}, kStart);
  CHECK(queue.DequeueReady(kStart).empty());
  CHECK(Begin("calm").has_value());
  table.EndAttempt(*flooding, AttemptOutcome::kGood, {}, kStart);
  CHECK(queue.DequeueReady(kStart).empty());
  UNSIGNED_LONGS_EQUAL(35, queue.Sizes()["llm"]);
}

TEST(TargetQueue, StartsWhoWaitsWhenThereIsRoom) {
  auto first = Begin("flood");
  LONGS_EQUAL(7, Flood(10));
  const QueueTicket last = *ticket;
  table.EndAttempt(*first, AttemptOutcome::kGood, {}, kStart);
  auto starts = queue.DequeueReady(kStart + milliseconds(10));
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("one", starts[0].choice.name.c_str());
  queue.Remove(last);
  UNSIGNED_LONGS_EQUAL(1, queue.Sizes()["llm"]);
}

TEST(TargetQueue, NoTargetIsSaidAtOnce) {
  table.Update({}, Config(), kStart);
  CHECK_FALSE(Begin("calm").has_value());
  CHECK_FALSE(ticket.has_value());
  CHECK(reason.code == ResultCode::kNoTarget);
}

}  // namespace turmericwinch
