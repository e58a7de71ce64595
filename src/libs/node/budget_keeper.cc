#include "libs/node/budget_keeper.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <set>
#include <vector>

#include "libs/base/log.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/grant_planner.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};
constexpr std::chrono::milliseconds kConflictPause{2};

// Whether a failed write is settled by reading the object again.
bool NeedsReread(const Reason& reason) {
  return reason.code == ResultCode::kPlatformConflict ||
         reason.code == ResultCode::kPlatformExists ||
         reason.code == ResultCode::kPlatformUnknown ||
         reason.code == ResultCode::kPlatformNotFound;
}

// A bucket as it was last read, with the versions to update against.
struct CachedBucket {
  PlatformObject account_object;
  AccountBucket account;
  PlatformObject shard_object;
  DomainShard shard;
  bool fresh = false;
};

// Outcome of planning one bucket's writes.
struct BucketPlan {
  bool account_changed = false;
  // What this host's counters are to become, by budget.
  std::map<std::string, HolderCounters> counters;
  std::vector<std::string> short_of_tokens;
};

}  // namespace

class BudgetKeeper::Private
    : public std::enable_shared_from_this<BudgetKeeper::Private> {
 public:
  using Wishes = std::map<std::string, GrantWish>;

  void Draw();
  asio::awaitable<bool> SyncBucket(std::uint64_t bucket);
  asio::awaitable<bool> SyncOnce(std::uint64_t bucket,
                                 const Wishes& wishes,
                                 Reason* reason);
  asio::awaitable<bool> Load(std::uint64_t bucket, Reason* reason);
  asio::awaitable<bool> LoadObject(std::string name,
                                   PlatformObject* object,
                                   Reason* reason);
  BucketPlan MakePlan(std::uint64_t bucket, const Wishes& wishes);
  void PlanWish(CachedBucket& cache, const GrantWish& wish, BucketPlan& plan);
  asio::awaitable<bool> WriteShard(CachedBucket& cache,
                                   const BucketPlan& plan,
                                   Reason* reason);
  asio::awaitable<bool> FlushBills();
  asio::awaitable<bool> FlushOnce();
  void DenyAll(const Wishes& wishes, const Reason& reason);

  BudgetKeeperParts parts;
  std::string holder;
  std::map<std::uint64_t, CachedBucket> buckets;
  std::map<std::uint64_t, Wishes> wishes;
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
    GrantWish& wish = wishes[bucket][it.budget];
    wish.budget = it.budget;
    wish.needed = std::max(wish.needed, it.needed);
    wish.rate = it.rate;
  }
  for (std::uint64_t it : touched) {
    if (busy.contains(it))
      continue;
    asio::co_spawn(
        *parts.control,
        [self, it]() -> asio::awaitable<void> {
          co_await self->SyncBucket(it);
        },
        asio::detached);
  }
}

// Writes until no wish is left for the bucket. Wishes that come while it is
// busy are taken up by its next turn.
asio::awaitable<bool> BudgetKeeper::Private::SyncBucket(std::uint64_t bucket) {
  if (!busy.insert(bucket).second)
    co_return true;
  bool done = true;
  do {
    Wishes current = std::move(wishes[bucket]);
    wishes.erase(bucket);
    Reason reason;
    done = co_await SyncOnce(bucket, current, &reason);
    if (!done)
      DenyAll(current, reason);
  } while (wishes.contains(bucket));
  busy.erase(bucket);
  co_return done;
}

void BudgetKeeper::Private::DenyAll(const Wishes& denied,
                                    const Reason& reason) {
  for (const auto& [name, wish] : denied) {
    parts.ledger->Deny(
        name, {ResultCode::kBudgetUnreachable,
               "budget " + name + " cannot be drawn on now: " + reason.text});
  }
}

asio::awaitable<bool> BudgetKeeper::Private::SyncOnce(std::uint64_t bucket,
                                                      const Wishes& wanted,
                                                      Reason* reason) {
  asio::steady_timer timer(*parts.control);
  for (int attempt = 0; attempt < kBucketWriteAttempts; ++attempt) {
    CachedBucket& cache = buckets[bucket];
    const bool cached = cache.fresh;
    if (!cached && !co_await Load(bucket, reason))
      co_return false;
    BucketPlan plan = MakePlan(bucket, wanted);
    // Nobody is refused on the word of a cached object.
    if (cached && !plan.short_of_tokens.empty()) {
      cache.fresh = false;
      continue;
    }
    bool written = true;
    if (plan.account_changed) {
      cache.account_object.value = ToJson(cache.account);
      std::optional<std::uint64_t> version = co_await parts.platform->Update(
          PlatformDuty::kBudget, cache.account_object, reason);
      written = version.has_value();
      if (written)
        cache.account_object.version = *version;
    }
    if (written && !plan.counters.empty())
      written = co_await WriteShard(cache, plan, reason);
    if (written) {
      for (const std::string& it : plan.short_of_tokens) {
        parts.ledger->Deny(it, {ResultCode::kBudgetExhausted,
                                "budget " + it + " has too few tokens left"});
      }
      co_return true;
    }
    cache.fresh = false;
    if (!NeedsReread(*reason))
      co_return false;
    timer.expires_after(kConflictPause * (1 + attempt));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return false;
}

asio::awaitable<bool> BudgetKeeper::Private::LoadObject(std::string name,
                                                        PlatformObject* object,
                                                        Reason* reason) {
  std::optional<PlatformObject> found =
      co_await parts.platform->Get(PlatformDuty::kBudget, name, reason);
  if (found) {
    *object = std::move(*found);
    co_return true;
  }
  if (reason->code != ResultCode::kPlatformNotFound)
    co_return false;
  std::optional<std::uint64_t> version = co_await parts.platform->Create(
      PlatformDuty::kBudget, name, "{}", reason);
  if (version) {
    *object = {name, *version, "{}"};
    co_return true;
  }
  if (!NeedsReread(*reason))
    co_return false;
  found = co_await parts.platform->Get(PlatformDuty::kBudget, name, reason);
  if (!found)
    co_return false;
  *object = std::move(*found);
  co_return true;
}

asio::awaitable<bool> BudgetKeeper::Private::Load(std::uint64_t bucket,
                                                  Reason* reason) {
  CachedBucket& cache = buckets[bucket];
  if (!co_await LoadObject(AccountObjectName(bucket), &cache.account_object,
                           reason))
    co_return false;
  if (!co_await LoadObject(ShardObjectName(parts.failure_domain, bucket),
                           &cache.shard_object, reason))
    co_return false;
  std::optional<AccountBucket> account =
      AccountBucketOf(cache.account_object.value, reason);
  std::optional<DomainShard> shard =
      DomainShardOf(cache.shard_object.value, reason);
  if (!account || !shard)
    co_return false;
  cache.account = std::move(*account);
  cache.shard = std::move(*shard);
  cache.fresh = true;
  co_return true;
}

BucketPlan BudgetKeeper::Private::MakePlan(std::uint64_t bucket,
                                           const Wishes& wanted) {
  BucketPlan plan;
  CachedBucket& cache = buckets[bucket];
  parts.ledger->With([&](HostLedger& ledger) {
    plan.counters = ledger.UnconfirmedCounters(bucket);
  });
  for (const auto& [name, wish] : wanted)
    PlanWish(cache, wish, plan);
  return plan;
}

void BudgetKeeper::Private::PlanWish(CachedBucket& cache,
                                     const GrantWish& wish,
                                     BucketPlan& plan) {
  std::shared_ptr<const ConfigSnapshot> config = parts.config->Get();
  BudgetAccount& account = cache.account.budgets[wish.budget];
  ShardBudget& shard = cache.shard.budgets[wish.budget];
  int reserve_percent = 50;
  if (config) {
    auto it = config->budgets().find(wish.budget);
    if (it != config->budgets().end()) {
      reserve_percent = it->second.reserve_percent;
      plan.account_changed |=
          Declare(account, it->second.tokens, config->generation());
    }
  }
  NoteReturned(account, parts.failure_domain, shard.returned);
  DomainAllocation& allocation = account.domains[parts.failure_domain];
  const int hosts = parts.hosts_in_domain();
  const int domains =
      std::max<int>(1, static_cast<int>(account.domains.size()));
  std::int64_t free = shard.Free(allocation.allocated);
  if (free < wish.needed) {
    const std::int64_t wanted =
        PlanAllocation({wish.needed - free, wish.rate * hosts, domains,
                        account.Free(), reserve_percent});
    const std::int64_t added = Allocate(account, parts.failure_domain, wanted);
    plan.account_changed |= added > 0;
    free += added;
  }
  if (free < wish.needed) {
    plan.short_of_tokens.push_back(wish.budget);
    return;
  }
  const std::int64_t tokens =
      PlanGrant({wish.needed, wish.rate, hosts, free, reserve_percent});
  HolderCounters counters = shard.holders[holder];
  auto unconfirmed = plan.counters.find(wish.budget);
  if (unconfirmed != plan.counters.end()) {
    counters.settled = unconfirmed->second.settled;
    counters.given_back = unconfirmed->second.given_back;
  }
  counters.granted += tokens;
  plan.counters[wish.budget] = counters;
}

asio::awaitable<bool> BudgetKeeper::Private::WriteShard(CachedBucket& cache,
                                                        const BucketPlan& plan,
                                                        Reason* reason) {
  std::map<std::string, HolderCounters> merged;
  for (const auto& [name, counters] : plan.counters) {
    const std::int64_t allocated =
        cache.account.budgets[name].domains[parts.failure_domain].allocated;
    merged[name] =
        MergeHolder(cache.shard.budgets[name], holder, counters, allocated);
  }
  cache.shard_object.value = ToJson(cache.shard);
  std::optional<std::uint64_t> version = co_await parts.platform->Update(
      PlatformDuty::kBudget, cache.shard_object, reason);
  if (!version)
    co_return false;
  cache.shard_object.version = *version;
  for (const auto& it : merged) {
    parts.ledger->With([&](HostLedger& ledger) {
      ledger.ConfirmCounters(it.first, it.second);
    });
    parts.ledger->Grant(it.first, it.second.granted);
  }
  co_return true;
}

asio::awaitable<bool> BudgetKeeper::Private::FlushBills() {
  for (;;) {
    std::vector<Bill> bills;
    parts.ledger->With([&](HostLedger& ledger) {
      bills = ledger.UnconfirmedBills(kBillsPerSegment);
    });
    if (bills.empty())
      co_return true;
    const std::string name =
        BillSegmentName(parts.failure_domain, holder, bills.front().sequence);
    Reason reason;
    std::optional<std::uint64_t> version = co_await parts.platform->Create(
        PlatformDuty::kBills, name, ToJson(bills), &reason);
    std::uint64_t last = bills.back().sequence;
    if (!version && reason.code == ResultCode::kPlatformExists) {
      std::optional<PlatformObject> written =
          co_await parts.platform->Get(PlatformDuty::kBills, name, &reason);
      std::optional<std::vector<Bill>> kept;
      if (written)
        kept = BillsOf(written->value, &reason);
      if (!kept || kept->empty())
        co_return false;
      last = kept->back().sequence;
    } else if (!version) {
      LogEvent(kLog, Severity::kWarning, "bills_delayed",
               {{"bills", bills.size()},
                {"code", static_cast<int>(reason.code)},
                {"reason", reason.text}});
      co_return false;
    }
    parts.ledger->With([&](HostLedger& ledger) { ledger.ConfirmBills(last); });
  }
}

asio::awaitable<bool> BudgetKeeper::Private::FlushOnce() {
  bool done = co_await FlushBills();
  std::vector<std::uint64_t> dirty;
  parts.ledger->With(
      [&](HostLedger& ledger) { dirty = ledger.DirtyBuckets(); });
  for (std::uint64_t it : dirty)
    done = co_await SyncBucket(it) && done;
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
  co_return co_await d->FlushOnce();
}

}  // namespace turmericwinch
