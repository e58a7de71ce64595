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
#include "libs/node/loan_keeper.h"
#include "libs/node/node_constants.h"
#include "libs/platform/platform_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};

// kDraw is for wishes alone, kFlush writes counters and fills stocks, kClose
// ends the holder in the bucket.
enum class TurnKind { kDraw, kFlush, kClose };

}  // namespace

class BudgetKeeper::Private
    : public std::enable_shared_from_this<BudgetKeeper::Private> {
 public:
  void Build();
  void Draw();
  void DrawDirectly(const std::vector<GrantRequest>& taken);
  void StartTurn(std::uint64_t bucket);
  GrantRequests TakeGrantRequests(std::uint64_t bucket, TurnKind kind);
  asio::awaitable<bool> SyncBucket(std::uint64_t bucket, TurnKind kind);
  asio::awaitable<void> RunTurn(BucketSync& sync);
  asio::awaitable<bool> FlushBills();
  asio::awaitable<bool> FlushOnce();
  asio::awaitable<bool> CloseHolder();
  void Publish(const GrantRequests& wanted, const SyncResult& result);
  BucketSync& SyncOf(std::uint64_t bucket);
  std::optional<BudgetSetting> SettingOf(const std::string& budget) const;

  // Time between flushes: `per_host` for each host that lends or borrows.
  std::chrono::milliseconds Interval(std::chrono::milliseconds per_host) const;

  BudgetKeeperParts parts;
  std::unique_ptr<LoanKeeper> loans;
  std::string holder;
  std::map<std::uint64_t, BucketSync> buckets;
  std::map<std::uint64_t, GrantRequests> wishes;
  std::set<std::uint64_t> busy;
  std::atomic<bool> draw_requested{false};
  // Since when a shutdown waits for loans, and its last report.
  std::optional<Clock::time_point> ending_since;
  Clock::time_point last_report;
  Clock::time_point last_counters;
  bool ended = false;
};

BudgetKeeper::BudgetKeeper(BudgetKeeperParts parts)
    : d_(std::make_shared<Private>()) {
  d_->parts = std::move(parts);
  d_->parts.ledger->With(
      [this](HostLedger& ledger) { d_->holder = ledger.holder(); });
  d_->Build();
}

void BudgetKeeper::Private::Build() {
  LoanKeeperParts loan;
  loan.control = parts.control;
  loan.platform = parts.platform;
  loan.ledger = parts.ledger;
  loan.fleet = parts.fleet;
  loan.holder = holder;
  loan.failure_domain = parts.failure_domain;
  loan.hosts_in_domain = parts.hosts_in_domain;
  loan.reserve_percent_of = [this](const std::string& name) {
    return SettingOf(name).value_or(BudgetSetting()).reserve_percent;
  };
  loan.draw = [this](const std::vector<GrantRequest>& it) { DrawDirectly(it); };
  loan.draw_for_borrowers = [this](std::uint64_t it) { StartTurn(it); };
  loans = std::make_unique<LoanKeeper>(std::move(loan));
}

BudgetKeeper::~BudgetKeeper() = default;

void BudgetKeeper::RequestDraw() {
  if (d_->draw_requested.exchange(true))
    return;
  asio::post(*d_->parts.control, [d = d_] { d->Draw(); });
}

bool BudgetKeeper::Receive(const PeerFrame& frame) {
  return d_->loans->Receive(frame);
}

boost::json::object BudgetKeeper::DumpLoans() const {
  return d_->loans->Dump();
}

void BudgetKeeper::Private::Draw() {
  draw_requested = false;
  std::vector<GrantRequest> taken;
  parts.ledger->With(
      [&](HostLedger& ledger) { taken = ledger.TakeGrantRequests(); });
  DrawDirectly(loans->Ask(std::move(taken)));
}

void BudgetKeeper::Private::DrawDirectly(
    const std::vector<GrantRequest>& taken) {
  std::set<std::uint64_t> touched;
  for (const GrantRequest& it : taken) {
    const std::uint64_t bucket = BucketOf(it.budget);
    touched.insert(bucket);
    auto [wish, added] = wishes[bucket].emplace(it.budget, it);
    if (added)
      continue;
    wish->second.needed = AddSaturated(wish->second.needed, it.needed);
    wish->second.smallest = std::min(wish->second.smallest, it.smallest);
    wish->second.rate = it.rate;
  }
  for (std::uint64_t it : touched)
    StartTurn(it);
}

void BudgetKeeper::Private::StartTurn(std::uint64_t bucket) {
  if (busy.contains(bucket))
    return;
  auto self = shared_from_this();
  asio::co_spawn(
      *parts.control,
      [self, bucket]() -> asio::awaitable<void> {
        co_await self->SyncBucket(bucket, TurnKind::kDraw);
      },
      asio::detached);
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
  sync.lender = loans->lender();
  return buckets.try_emplace(bucket, std::move(sync)).first->second;
}

GrantRequests BudgetKeeper::Private::TakeGrantRequests(std::uint64_t bucket,
                                                       TurnKind kind) {
  GrantRequests current = std::move(wishes[bucket]);
  wishes.erase(bucket);
  loans->AddWishes(bucket, current);
  if (kind == TurnKind::kFlush && loans->enabled()) {
    parts.ledger->With([&](HostLedger& ledger) {
      for (GrantRequest& it : ledger.StockRequests(bucket, Clock::now()))
        current.emplace(it.budget, it);
    });
  }
  return current;
}

// Turns until no wish is left for the bucket. Wishes that come while it is
// busy are taken up by its next turn.
asio::awaitable<bool> BudgetKeeper::Private::SyncBucket(std::uint64_t bucket,
                                                        TurnKind kind) {
  if (!busy.insert(bucket).second)
    co_return false;
  BucketSync& sync = SyncOf(bucket);
  bool more = true;
  while (more) {
    GrantRequests current = TakeGrantRequests(bucket, kind);
    const bool refresh =
        kind == TurnKind::kFlush && loans->enabled() && sync.IsNearlyScarce();
    sync.BeginRound(current, kind == TurnKind::kClose, refresh);
    co_await RunTurn(sync);
    Publish(current, sync.result());
    loans->TurnOver(bucket, sync.result());
    GrantRequests left;
    more = loans->AddWishes(bucket, left) || wishes.contains(bucket);
    if (kind == TurnKind::kFlush)
      kind = TurnKind::kDraw;
  }
  busy.erase(bucket);
  co_return sync.result().reason.code == ResultCode::kOk;
}

asio::awaitable<void> BudgetKeeper::Private::RunTurn(BucketSync& sync) {
  for (;;) {
    std::optional<PlatformCall> call;
    parts.ledger->With(
        [&](HostLedger& ledger) { call = sync.NextCall(ledger); });
    if (!call)
      co_return;
    PlatformAnswer answer = co_await MakeCall(
        *parts.platform, PlatformDuty::kBudget, std::move(*call));
    parts.ledger->With(
        [&](HostLedger& ledger) { sync.HandleAnswer(answer, ledger); });
  }
}

// Wakes the requests that wait, with their grant or with why there is none.
void BudgetKeeper::Private::Publish(const GrantRequests& wanted,
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
    parts.ledger->With(
        [&](HostLedger& ledger) { call = flush.NextCall(ledger); });
    if (!call)
      break;
    PlatformAnswer answer = co_await MakeCall(
        *parts.platform, PlatformDuty::kBills, std::move(*call));
    parts.ledger->With(
        [&](HostLedger& ledger) { flush.HandleAnswer(answer, ledger); });
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
    if (sync.NeedsRound())
      dirty.insert(bucket);
  }
  loans->Report();
  const Clock::time_point now = Clock::now();
  if (loans->enabled() &&
      now - last_counters < Interval(kCountersIntervalPerHost))
    co_return done;
  last_counters = now;
  for (std::uint64_t it : dirty)
    done = co_await SyncBucket(it, TurnKind::kFlush) && done;
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
    if (sync.NeedsRound())
      held.insert(bucket);
  }
  bool done = true;
  for (std::uint64_t it : held) {
    done = co_await SyncBucket(it, TurnKind::kClose) && done;
    done = done && !SyncOf(it).NeedsRound();
  }
  parts.ledger->With(
      [&](HostLedger& ledger) { done = done && ledger.HeldBuckets().empty(); });
  co_return done;
}

std::chrono::milliseconds BudgetKeeper::Private::Interval(
    std::chrono::milliseconds per_host) const {
  if (!loans->enabled())
    return parts.flush_interval;
  return std::max(parts.flush_interval, parts.hosts_in_domain() * per_host);
}

asio::awaitable<void> BudgetKeeper::Run() {
  auto d = d_;
  asio::co_spawn(*d->parts.control, d->loans->Run(), asio::detached);
  asio::steady_timer timer(*d->parts.control);
  for (;;) {
    timer.expires_after(d->Interval(kFlushIntervalPerHost));
    co_await timer.async_wait(asio::use_awaitable);
    d->parts.ledger->With(
        [](HostLedger& ledger) { ledger.GiveBackIdle(Clock::now(), false); });
    co_await d->FlushOnce();
  }
}

// The end is written last: from then on the holder must not reserve, and live
// borrowers close with it.
asio::awaitable<bool> BudgetKeeper::FlushAll() {
  auto d = d_;
  const Clock::time_point now = Clock::now();
  d->loans->Stop();
  d->parts.ledger->With(
      [&](HostLedger& ledger) { ledger.GiveBackIdle(now, true); });
  if (!co_await d->FlushBills())
    co_return false;
  const bool closed = co_await d->CloseHolder();
  if (!d->loans->enabled() || d->ended)
    co_return closed;
  if (!d->ending_since)
    d->ending_since = now;
  if (now - d->last_report >= kShutdownReportInterval) {
    d->loans->Report();
    d->last_report = now;
  }
  const bool returned = closed && d->loans->IsReported();
  if (!returned && now - *d->ending_since < kLoanReturnTimeout)
    co_return false;
  bool idle = false;
  d->parts.ledger->With([&](HostLedger& ledger) {
    idle = ledger.open_reservations() == 0 && ledger.unconfirmed_bills() == 0;
    if (idle)
      ledger.Fence();
  });
  d->ended = idle && co_await d->loans->LookForEnds(true);
  co_return d->ended;
}

}  // namespace turmericwinch
