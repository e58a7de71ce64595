#include "libs/node/shared_targets.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <boost/json/array.hpp>

#include "support/routing_config.h"
#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Choice = std::optional<TargetChoice>;

}  // namespace

TEST_GROUP(SharedTargets) {
  asio::io_context context{1};
  SharedTargets targets{"a", "host"};
  Reason reason;

  void setup() override {
    targets.Update({{}, {{"one", "a", "127.0.0.1:1", "1", "any", false}}},
                   SingleClassConfig("plain", 1, 2));
  }
  // The only target, or the only one in the own domain, is cold and takes four
  // requests a second.
  void UseColdTarget(const std::vector<std::string>& fleet,
                     bool with_warm = false) {
    ConfigSet set;
    set.Add({ConfigKind::kFailureDomain,
             "a",
             {{"overflow", boost::json::array{"b"}}},
             ""});
    set.Add({ConfigKind::kTargetClass,
             "any",
             {{"service", "plain"},
              {"cold_ms", 60'000},
              {"cold_requests_per_second", 4}},
             ""});
    targets.SetColdBound(1, 4);
    targets.SetFleet(fleet);
    HostList list;
    list.targets = {{"cold", "a", "127.0.0.1:2", "1", "any", false,
                     std::chrono::minutes(1)}};
    if (with_warm) {
      list.targets.push_back({"warm", "b", "127.0.0.1:3", "1", "any", false,
                              std::chrono::milliseconds(0)});
    }
    targets.Update(list, {1, "digest", set});
  }
  asio::awaitable<Choice> Wait(const char* team, Clock::duration timeout) {
    RoutingRequest request{"plain"};
    request.team = team;
    co_return co_await targets.WaitForTarget(request, Clock::now() + timeout,
                                             &reason);
  }
  // Starts a request that waits without a practical limit and writes its target
  // to `choice`.
  void Spawn(const char* team, Choice& choice) {
    asio::co_spawn(
        context,
        [this, team, &choice]() -> asio::awaitable<void> {
          choice = co_await Wait(team, std::chrono::hours(1));
        },
        asio::detached);
    context.restart();
    context.poll();
  }
};

TEST(SharedTargets, WaitingRequestGetsFreedCapacity) {
  Choice first;
  Choice second;
  Choice third;
  Spawn("one", first);
  Spawn("one", second);
  Spawn("one", third);
  CHECK(first.has_value() && second.has_value());
  CHECK_FALSE(third.has_value());
  UNSIGNED_LONGS_EQUAL(1, targets.QueueSizes()["plain"]);
  targets.EndAttempt(*first);
  context.restart();
  while (!third && context.run_one() > 0) {
  }
  CHECK(third.has_value());
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
}

TEST(SharedTargets, RefusesRequestAfterTimeout) {
  Choice first;
  Choice second;
  Spawn("one", first);
  Spawn("one", second);
  const Choice late =
      RunCoroutine(context, Wait("one", std::chrono::milliseconds(1)));
  CHECK_FALSE(late.has_value());
  CHECK(reason.code == ResultCode::kOverloaded);
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
}

TEST(SharedTargets, ARequestWaitsUntilTheRateLimitAllowsIt) {
  Choice first;
  Spawn("one", first);
  targets.RecordRateLimit(*first, 100);
  const Choice second =
      RunCoroutine(context, Wait("one", std::chrono::hours(1)));
  CHECK(second.has_value());
}

TEST(SharedTargets, ARequestThatARateLimitDelaysTooLongIsRefusedAtOnce) {
  Choice first;
  Spawn("one", first);
  targets.RecordRateLimit(*first, 1);
  const Choice second =
      RunCoroutine(context, Wait("one", std::chrono::hours(1)));
  CHECK_FALSE(second.has_value());
  CHECK(reason.code == ResultCode::kOverloaded);
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
}

// Guards against requests that wait until their deadline for targets that are
// all cold and get their requests from other hosts.
TEST(SharedTargets, ARequestForAColdServiceIsRefusedAtOnce) {
  for (const std::vector<std::string>& fleet :
       {std::vector<std::string>{}, std::vector<std::string>{"other"}}) {
    UseColdTarget(fleet);
    CHECK_FALSE(
        RunCoroutine(context, Wait("one", std::chrono::hours(1))).has_value());
    CHECK(reason.code == ResultCode::kOverloaded);
    UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
  }
}

// Guards against a wait for a start that comes after the deadline.
TEST(SharedTargets, ARequestThatAColdTargetDelaysTooLongIsRefusedAtOnce) {
  UseColdTarget({"host"});
  bool is_done = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        // The first start waits for an interval of 0.26 s.
        const Choice choice =
            co_await Wait("one", std::chrono::milliseconds(100));
        is_done = !choice;
      },
      asio::detached);
  context.restart();
  context.poll();
  CHECK(is_done);
  CHECK(reason.code == ResultCode::kOverloaded);
}

// Guards against a warm target that the request may not reach, which made it
// wait until its deadline.
TEST(SharedTargets, AWarmTargetOutOfReachLetsNoRequestWait) {
  UseColdTarget({"other"}, /*with_warm=*/true);
  RoutingRequest request{"plain"};
  request.domains =
      std::make_shared<const std::set<std::string>>(std::set<std::string>{"a"});
  const Clock::time_point deadline = Clock::now() + std::chrono::hours(1);
  CHECK_FALSE(
      RunCoroutine(context, targets.WaitForTarget(request, deadline, &reason))
          .has_value());
  CHECK(reason.code == ResultCode::kOverloaded);
  request.domains = nullptr;
  CHECK(RunCoroutine(context, targets.WaitForTarget(request, deadline, &reason))
            .has_value());
}

TEST(SharedTargets, ARequestWaitsForItsTurnAtAColdTarget) {
  UseColdTarget({"host"});
  CHECK(RunCoroutine(context, Wait("one", std::chrono::hours(1))).has_value());
}

// Guards against a request that waits although the estimate of other hosts'
// tokens has aged: no other event wakes it.
TEST(SharedTargets, ARequestWaitsUntilAnEstimateOfMemoryHasAged) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass,
           "any",
           {{"service", "plain"},
            {"tokens_per_second", 100},
            {"most_in_flight", 8},
            {"memory_tokens", 1'000}},
           ""});
  targets.Update({{}, {{"two", "a", "127.0.0.1:1", "1", "any", false}}},
                 ConfigSnapshot(1, "digest", set));
  const Choice first = targets.BeginAttempt({"plain", 500}, {}, &reason);
  targets.RecordReportedLoad(*first, {2, 0, 8, {}});
  targets.EndAttempt(*first);
  const Choice second = RunCoroutine(
      context,
      targets.WaitForTarget({"plain", 501},
                            Clock::now() + std::chrono::hours(1), &reason));
  CHECK(second.has_value());
}

TEST(SharedTargets, FloodOfOneTeamLeavesCapacityForOthers) {
  Choice calm;
  Spawn("calm", calm);
  targets.EndAttempt(*calm);
  std::array<Choice, 4> flood;
  for (Choice& it : flood)
    Spawn("flood", it);
  CHECK(flood[0].has_value());
  CHECK_FALSE(flood[1].has_value());
  calm.reset();
  Spawn("calm", calm);
  CHECK(calm.has_value());
}

TEST(SharedTargets, AWaitingRequestOfACallerThatLeavesEndsAtOnce) {
  Choice first;
  Choice second;
  Spawn("one", first);
  Spawn("one", second);
  HttpCancel cancel;
  bool ended = false;
  Choice third;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        RoutingRequest request{"plain"};
        request.team = "one";
        third = co_await targets.WaitForTarget(
            request, Clock::now() + std::chrono::hours(1), &reason, &cancel);
        ended = true;
      },
      asio::detached);
  context.restart();
  context.poll();
  UNSIGNED_LONGS_EQUAL(1, targets.QueueSizes()["plain"]);
  cancel.Cancel();
  context.restart();
  context.poll();
  CHECK(ended);
  CHECK_FALSE(third.has_value());
  LONGS_EQUAL(static_cast<int>(ResultCode::kCallerGone),
              static_cast<int>(reason.code));
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
}

TEST(SharedTargets, NoRequestWaitsAtAHostThatStopsSoon) {
  Choice choices[4];
  for (int n = 0; n < 3; ++n)
    Spawn("one", choices[n]);
  UNSIGNED_LONGS_EQUAL(1, targets.QueueSizes()["plain"]);
  targets.StopWaiting();
  context.restart();
  context.poll();
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
  reason = {};
  Spawn("one", choices[3]);
  LONGS_EQUAL(static_cast<int>(ResultCode::kOverloaded),
              static_cast<int>(reason.code));
  CHECK_FALSE(choices[2].has_value() || choices[3].has_value());
}

// They would wait for their deadline, since nothing else wakes them.
TEST(SharedTargets, WaitsEndAtOnceWhenEveryDomainIsEvacuated) {
  Choice choices[4];
  for (Choice& it : choices)
    Spawn("one", it);
  UNSIGNED_LONGS_EQUAL(2, targets.QueueSizes()["plain"]);
  targets.SetEvacuatedDomains({"a"});
  context.restart();
  context.poll();
  UNSIGNED_LONGS_EQUAL(0, targets.QueueSizes()["plain"]);
  CHECK(reason.code == ResultCode::kDomainEvacuated);
  CHECK_FALSE(choices[2].has_value() || choices[3].has_value());
  // The requests that run end normally.
  targets.EndAttempt(*choices[0]);
  targets.EndAttempt(*choices[1]);
}

}  // namespace turmericwinch
