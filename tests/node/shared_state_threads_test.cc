// Races traffic threads against the control thread; run under ThreadSanitizer.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <thread>

#include "libs/node/config_holder.h"
#include "libs/node/shared_ledger.h"
#include "libs/node/shared_targets.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

constexpr int kTrafficThreads = 3;
constexpr int kRequests = 200;
constexpr int kGenerations = 300;
constexpr std::int64_t kTokens = 10;
constexpr seconds kMaxWait{60};
constexpr char kBudget[] = "budget";

std::shared_ptr<ConfigSnapshot> Snapshot(std::uint64_t generation) {
  ConfigSet set;
  const auto add = [&](ConfigKind kind, const char* name, const char* fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", "{}");
  add(ConfigKind::kTargetClass, "fast",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":2})");
  return std::make_shared<ConfigSnapshot>(generation,
                                          std::to_string(generation), set);
}

// Two permanent targets, and one that is listed, leaving and removed in turn.
HostList ListOf(int round) {
  HostList list;
  const auto add = [&](const char* name, bool leaving) {
    list.targets.push_back({name, "a", "127.0.0.1:1", "1", "fast", leaving});
  };
  add("stays-1", false);
  add("stays-2", false);
  if (round % 3 != 0)
    add("moves", round % 3 == 2);
  return list;
}

asio::awaitable<void> RunReservations(SharedLedger& ledger,
                                      std::atomic<int>& refused) {
  for (int n = 0; n < kRequests; ++n) {
    Reason reason;
    std::optional<std::uint64_t> id =
        co_await ledger.Reserve(kBudget, kTokens, kMaxWait, &reason);
    if (!id) {
      ++refused;
      continue;
    }
    if (n % 2 == 0) {
      ledger.Release(*id);
      continue;
    }
    Bill bill;
    bill.tokens = kTokens;
    ledger.Settle(*id, bill);
  }
}

asio::awaitable<void> RunTargetChoices(SharedTargets& targets,
                                       std::atomic<int>& chosen) {
  for (int n = 0; n < kRequests; ++n) {
    Reason reason;
    RoutingRequest request{"llm", 100};
    request.team = "team";
    std::optional<TargetChoice> choice = co_await targets.WaitForTarget(
        request, std::chrono::steady_clock::now() + kMaxWait, &reason);
    if (!choice)
      continue;
    ++chosen;
    // Lets other requests start to wait in the meantime.
    co_await asio::post(asio::use_awaitable);
    targets.RecordFirstToken(*choice, std::chrono::milliseconds(1));
    targets.EndAttempt(*choice);
  }
}

// Runs `work` on each traffic thread, and `control` repeatedly on this thread
// until all of them have finished.
void RunThreads(const std::function<asio::awaitable<void>()>& work,
                const std::function<void()>& control) {
  std::atomic<int> running{kTrafficThreads};
  std::vector<std::thread> threads;
  for (int n = 0; n < kTrafficThreads; ++n) {
    threads.emplace_back([&] {
      asio::io_context context(1);
      asio::co_spawn(context, work(), asio::detached);
      context.run();
      --running;
    });
  }
  while (running > 0) {
    control();
    std::this_thread::yield();
  }
  for (std::thread& it : threads)
    it.join();
}

}  // namespace

TEST_GROUP(SharedStateThreads){};

TEST(SharedStateThreads, GrantsWakeRequestsOnOtherThreads) {
  SharedLedger ledger("host");
  std::atomic<bool> draw_requested{false};
  ledger.SetGrantRequestHandler([&] { draw_requested = true; });
  std::atomic<int> refused{0};
  std::int64_t granted = 0;
  RunThreads(
      [&] { return RunReservations(ledger, refused); },
      [&] {
        if (!draw_requested.exchange(false))
          return;
        std::vector<GrantRequest> requests;
        ledger.With([&](HostLedger& it) { requests = it.TakeGrantRequests(); });
        for (const GrantRequest& it : requests)
          granted += it.needed;
        if (!requests.empty())
          ledger.Grant(kBudget, granted);
      });
  LONGS_EQUAL(0, refused);
  ledger.With([&](HostLedger& it) {
    LONGS_EQUAL(0, it.open_reservations());
    LONGS_EQUAL(kTrafficThreads * kRequests / 2, it.unconfirmed_bills());
    const HolderCounters counters = it.Snapshot().at(kBudget).counters;
    LONGS_EQUAL(kTrafficThreads * kRequests / 2 * kTokens, counters.settled);
    CHECK(counters.settled <= counters.granted);
  });
}

TEST(SharedStateThreads, TargetsChangeWhileRequestsRun) {
  SharedTargets targets("a", "host");
  targets.Update(ListOf(0), *Snapshot(1));
  std::atomic<int> chosen{0};
  int round = 0;
  RunThreads([&] { return RunTargetChoices(targets, chosen); },
             [&] {
               ++round;
               targets.Update(ListOf(round), *Snapshot(1));
               targets.QueueSizes();
             });
  LONGS_EQUAL(kTrafficThreads * kRequests, chosen);
  for (const TargetStats& it : targets.Stats())
    LONGS_EQUAL(0, it.in_flight);
  for (const auto& [service, waiting] : targets.QueueSizes())
    LONGS_EQUAL(0, waiting);
}

TEST(SharedStateThreads, ReadersSeeWholeSnapshotsOfIncreasingGenerations) {
  ConfigHolder holder;
  std::atomic<int> violations{0};
  std::atomic<bool> done{false};
  const auto read = [&]() -> asio::awaitable<void> {
    std::uint64_t last = 0;
    while (!done) {
      std::shared_ptr<const ConfigSnapshot> snapshot = holder.Get();
      if (!snapshot)
        continue;
      if (snapshot->generation() < last ||
          snapshot->digest() != std::to_string(snapshot->generation()))
        ++violations;
      last = snapshot->generation();
    }
    co_return;
  };
  std::uint64_t next = 1;
  RunThreads(read, [&] {
    if (next > kGenerations) {
      done = true;
      return;
    }
    holder.ActivateIfNewer(Snapshot(next));
    // An older snapshot must not replace the current one.
    holder.ActivateIfNewer(Snapshot(next / 2));
    ++next;
  });
  LONGS_EQUAL(0, violations);
  LONGS_EQUAL(kGenerations, holder.Get()->generation());
}

}  // namespace turmericwinch
