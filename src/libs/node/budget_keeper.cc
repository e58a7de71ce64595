#include "libs/node/budget_keeper.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libs/base/log.h"
#include "libs/budget/bill_flush.h"
#include "libs/budget/bucket_sync.h"
#include "libs/budget/budget_account.h"
#include "libs/platform/platform_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};

}  // namespace

class BudgetKeeper::Private
    : public std::enable_shared_from_this<BudgetKeeper::Private> {
 public:
  void Draw();
  asio::awaitable<bool> SyncBucket(std::uint64_t bucket, bool closing);
  asio::awaitable<void> RunTurn(BucketSync& sync);
  asio::awaitable<bool> FlushBills();
  asio::awaitable<bool> FlushOnce();
  asio::awaitable<bool> CloseHolder();
  void Publish(const GrantWishes& wanted, const SyncResult& result);
  BucketSync& SyncOf(std::uint64_t bucket);
  std::optional<BudgetSetting> SettingOf(const std::string& budget) const;

  BudgetKeeperParts parts;
  std::string holder;
  std::map<std::uint64_t, BucketSync> buckets;
  std::map<std::uint64_t, GrantWishes> wishes;
  std::set<std::uint64_t> busy;
  std::atomic<bool> draw_requested{false};
};

BudgetKeeper::BudgetKeeper(BudgetKeeperParts parts)
    : d_(std::make_shared<Private>()) {
  d_->parts = std::move(parts);
  d_->parts.ledger->With(
      [this](HostLedger& ledger) { d_->holder = ledger.holder(); });
}

BudgetKeeper::~BudgetKeeper() = default;

void BudgetKeeper::RequestDraw() {
  if (d_->draw_requested.exchange(true))
    return;
  asio::post(*d_->parts.control, [d = d_] { d->Draw(); });
}

void BudgetKeeper::Private::Draw() {
  auto self = shared_from_this();
  draw_requested = false;
  std::vector<GrantWish> taken;
  parts.ledger->With([&](HostLedger& ledger) { taken = ledger.TakeWishes(); });
  std::set<std::uint64_t> touched;
  for (GrantWish& it : taken) {
    const std::uint64_t bucket = BucketOf(it.budget);
    touched.insert(bucket);
    auto [wish, added] = wishes[bucket].emplace(it.budget, it);
    if (added)
      continue;
    wish->second.needed = AddSaturated(wish->second.needed, it.needed);
    wish->second.smallest = std::min(wish->second.smallest, it.smallest);
    wish->second.rate = it.rate;
  }
  for (std::uint64_t it : touched) {
    if (busy.contains(it))
      continue;
    asio::co_spawn(
        *parts.control,
        [self, it]() -> asio::awaitable<void> {
          co_await self->SyncBucket(it, false);
        },
        asio::detached);
  }
}

std::optional<BudgetSetting> BudgetKeeper::Private::SettingOf(
    const std::string& budget) const {
  std::shared_ptr<const ConfigSnapshot> config = parts.config->Get();
  if (!config)
    return std::nullopt;
  auto it = config->budgets().find(budget);
  if (it == config->budgets().end())
    return std::nullopt;
  return BudgetSetting{it->second.tokens, config->generation(),
                       it->second.reserve_percent};
}

BucketSync& BudgetKeeper::Private::SyncOf(std::uint64_t bucket) {
  auto it = buckets.find(bucket);
  if (it != buckets.end())
    return it->second;
  BucketSyncParts sync;
  sync.bucket = bucket;
  sync.domain = parts.failure_domain;
  sync.holder = holder;
  sync.setting_of = [this](const std::string& name) { return SettingOf(name); };
  sync.hosts_in_domain = parts.hosts_in_domain;
  return buckets.try_emplace(bucket, std::move(sync)).first->second;
}

// Turns until no wish is left for the bucket. Wishes that come while it is
// busy are taken up by its next turn.
asio::awaitable<bool> BudgetKeeper::Private::SyncBucket(std::uint64_t bucket,
                                                        bool closing) {
  if (!busy.insert(bucket).second)
    co_return false;
  BucketSync& sync = SyncOf(bucket);
  do {
    GrantWishes current = std::move(wishes[bucket]);
    wishes.erase(bucket);
    sync.Begin(current, closing);
    co_await RunTurn(sync);
    Publish(current, sync.result());
  } while (wishes.contains(bucket));
  busy.erase(bucket);
  co_return sync.result().reason.code == ResultCode::kOk;
}

asio::awaitable<void> BudgetKeeper::Private::RunTurn(BucketSync& sync) {
  for (;;) {
    std::optional<PlatformCall> call;
    parts.ledger->With([&](HostLedger& ledger) { call = sync.Next(ledger); });
    if (!call)
      co_return;
    PlatformAnswer answer = co_await MakeCall(
        *parts.platform, PlatformDuty::kBudget, std::move(*call));
    parts.ledger->With([&](HostLedger& ledger) { sync.Take(answer, ledger); });
  }
}

// Wakes the requests that wait, with their grant or with why there is none.
void BudgetKeeper::Private::Publish(const GrantWishes& wanted,
                                    const SyncResult& result) {
  for (const std::string& it : result.grants) {
    std::int64_t granted = 0;
    parts.ledger->With(
        [&](HostLedger& ledger) { granted = ledger.Counters(it).granted; });
    parts.ledger->Grant(it, granted);
  }
  if (result.reason.code != ResultCode::kOk) {
    for (const auto& [name, wish] : wanted) {
      parts.ledger->Deny(name, wish.smallest,
                         {ResultCode::kBudgetUnreachable,
                          "budget " + name + " cannot be drawn on now: " +
                              result.reason.text});
    }
    return;
  }
  for (const auto& [name, wish] : result.short_of_tokens) {
    Reason reason{ResultCode::kBudgetExhausted,
                  "budget " + name + " has too few tokens left"};
    if (!result.complete) {
      reason = {ResultCode::kBudgetUnreachable,
                "budget " + name +
                    " has too few tokens left where they can be read now"};
    }
    parts.ledger->Deny(name, wish.smallest, reason);
  }
}

asio::awaitable<bool> BudgetKeeper::Private::FlushBills() {
  BillFlush flush(parts.failure_domain);
  for (;;) {
    std::optional<PlatformCall> call;
    parts.ledger->With([&](HostLedger& ledger) { call = flush.Next(ledger); });
    if (!call)
      break;
    PlatformAnswer answer = co_await MakeCall(
        *parts.platform, PlatformDuty::kBills, std::move(*call));
    parts.ledger->With([&](HostLedger& ledger) { flush.Take(answer, ledger); });
  }
  const Reason& result = flush.result();
  if (result.code == ResultCode::kOk)
    co_return true;
  std::size_t waiting = 0;
  parts.ledger->With(
      [&](HostLedger& ledger) { waiting = ledger.unconfirmed_bills(); });
  LogEvent(kLog, Severity::kWarning, "bills_delayed",
           {{"bills", waiting},
            {"code", static_cast<int>(result.code)},
            {"reason", result.text}});
  co_return false;
}

// Bills go first: what a dead host settled is then proved by its bills.
asio::awaitable<bool> BudgetKeeper::Private::FlushOnce() {
  bool done = co_await FlushBills();
  std::set<std::uint64_t> dirty;
  parts.ledger->With([&](HostLedger& ledger) {
    const std::vector<std::uint64_t> found = ledger.DirtyBuckets();
    dirty.insert(found.begin(), found.end());
  });
  for (const auto& [bucket, sync] : buckets) {
    if (sync.NeedsTurn())
      dirty.insert(bucket);
  }
  for (std::uint64_t it : dirty)
    done = co_await SyncBucket(it, false) && done;
  co_return done;
}

// Removes this holder's rows. A bucket with an open reservation keeps them,
// and so does one where a grant was found whose answer had been lost: the next
// attempt gives it back.
asio::awaitable<bool> BudgetKeeper::Private::CloseHolder() {
  std::set<std::uint64_t> held;
  parts.ledger->With([&](HostLedger& ledger) {
    const std::vector<std::uint64_t> found = ledger.HeldBuckets();
    held.insert(found.begin(), found.end());
  });
  for (const auto& [bucket, sync] : buckets) {
    if (sync.NeedsTurn())
      held.insert(bucket);
  }
  bool done = true;
  for (std::uint64_t it : held) {
    done = co_await SyncBucket(it, true) && done;
    done = done && !SyncOf(it).NeedsTurn();
  }
  parts.ledger->With(
      [&](HostLedger& ledger) { done = done && ledger.HeldBuckets().empty(); });
  co_return done;
}

asio::awaitable<void> BudgetKeeper::Run() {
  auto d = d_;
  asio::steady_timer timer(*d->parts.control);
  for (;;) {
    timer.expires_after(d->parts.flush_interval);
    co_await timer.async_wait(asio::use_awaitable);
    d->parts.ledger->With([](HostLedger& ledger) {
      ledger.GiveBackIdle(std::chrono::steady_clock::now(), false);
    });
    co_await d->FlushOnce();
  }
}

asio::awaitable<bool> BudgetKeeper::FlushAll() {
  auto d = d_;
  d->parts.ledger->With([](HostLedger& ledger) {
    ledger.GiveBackIdle(std::chrono::steady_clock::now(), true);
  });
  if (!co_await d->FlushBills())
    co_return false;
  co_return co_await d->CloseHolder();
}

}  // namespace turmericwinch
