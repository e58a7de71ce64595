// Traffic threads against the control thread; run under ThreadSanitizer.

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
constexpr seconds kMostWait{60};
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

// Two targets that stay, and one that comes, leaves and goes by turns.
HostList ListOf(int turn) {
  HostList list;
  const auto add = [&](const char* name, bool leaving) {
    list.targets.push_back({name, "a", "127.0.0.1:1", "1", "fast", leaving});
  };
  add("stays-1", false);
  add("stays-2", false);
  if (turn % 3 != 0)
    add("moves", turn % 3 == 2);
  return list;
}

asio::awaitable<void> Spend(SharedLedger& ledger, std::atomic<int>& refused) {
  for (int n = 0; n < kRequests; ++n) {
    Reason reason;
    std::optional<std::uint64_t> id =
        co_await ledger.Reserve(kBudget, kTokens, kMostWait, &reason);
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

asio::awaitable<void> Choose(SharedTargets& targets, std::atomic<int>& chosen) {
  for (int n = 0; n < kRequests; ++n) {
    Reason reason;
    RoutingRequest wish{"llm", 100};
    wish.team = "team";
    std::optional<TargetChoice> choice = co_await targets.WaitForTarget(
        wish, std::chrono::steady_clock::now() + kMostWait, &reason);
    if (!choice)
      continue;
    ++chosen;
    // Others come to wait meanwhile.
    co_await asio::post(asio::use_awaitable);
    targets.RecordFirstToken(*choice, std::chrono::milliseconds(1));
    targets.EndAttempt(*choice);
  }
}

// Runs `work` on each traffic thread, and `control` on this one until all are
// through.
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

TEST(SharedStateThreads, GrantsReachRequestsOnOtherThreads) {
  SharedLedger ledger("host");
  std::atomic<bool> wished{false};
  ledger.SetWishHook([&] { wished = true; });
  std::atomic<int> refused{0};
  std::int64_t granted = 0;
  RunThreads(
      [&] { return Spend(ledger, refused); },
      [&] {
        if (!wished.exchange(false))
          return;
        std::vector<GrantRequest> wishes;
        ledger.With([&](HostLedger& it) { wishes = it.TakeGrantRequests(); });
        for (const GrantRequest& it : wishes)
          granted += it.needed;
        if (!wishes.empty())
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

TEST(SharedStateThreads, TargetsChangeUnderRunningRequests) {
  SharedTargets targets("a", "host");
  targets.Update(ListOf(0), *Snapshot(1));
  std::atomic<int> chosen{0};
  int turn = 0;
  RunThreads([&] { return Choose(targets, chosen); },
             [&] {
               ++turn;
               targets.Update(ListOf(turn), *Snapshot(1));
               targets.QueueSizes();
             });
  LONGS_EQUAL(kTrafficThreads * kRequests, chosen);
  for (const TargetStats& it : targets.Stats())
    LONGS_EQUAL(0, it.in_flight);
  for (const auto& [service, waiting] : targets.QueueSizes())
    LONGS_EQUAL(0, waiting);
}

TEST(SharedStateThreads, ARequestSeesOneGenerationAndNeverAnOlderOne) {
  ConfigHolder holder;
  std::atomic<int> faults{0};
  std::atomic<bool> done{false};
  const auto read = [&]() -> asio::awaitable<void> {
    std::uint64_t last = 0;
    while (!done) {
      std::shared_ptr<const ConfigSnapshot> snapshot = holder.Get();
      if (!snapshot)
        continue;
      if (snapshot->generation() < last ||
          snapshot->digest() != std::to_string(snapshot->generation()))
        ++faults;
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
    holder.Advance(Snapshot(next));
    // An older one never comes back.
    holder.Advance(Snapshot(next / 2));
    ++next;
  });
  LONGS_EQUAL(0, faults);
  LONGS_EQUAL(kGenerations, holder.Get()->generation());
}

}  // namespace turmericwinch
