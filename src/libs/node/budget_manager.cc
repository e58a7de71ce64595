#include "libs/node/budget_manager.h"

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
#include "libs/node/loan_manager.h"
#include "libs/node/node_constants.h"
#include "libs/platform/platform_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};

// kDraw only serves grant requests, kFlush also writes counters and refills
// stocks, kClose removes the holder from the bucket.
enum class RoundKind { kDraw, kFlush, kClose };

}  // namespace

class BudgetManager::Private
    : public std::enable_shared_from_this<BudgetManager::Private> {
 public:
  void CreateLoanManager();
  void Draw();
  void DrawDirectly(const std::vector<GrantRequest>& grant_requests);
  void StartRound(std::uint64_t bucket);
  GrantRequests TakeGrantRequests(std::uint64_t bucket, RoundKind kind);
  asio::awaitable<bool> SyncBucket(std::uint64_t bucket, RoundKind kind);
  asio::awaitable<void> RunRound(BucketSync& sync);
  asio::awaitable<bool> FlushBills();
  asio::awaitable<bool> FlushBillsAndCounters();
  asio::awaitable<bool> CloseHolder();
  void DeliverGrants(const GrantRequests& wanted, const SyncResult& result);
  BucketSync& GetBucketSync(std::uint64_t bucket);
  std::optional<BudgetSetting> FindSetting(const std::string& budget) const;

  // Time between flushes: the configured interval, or `per_host` times the
  // number of hosts in the domain if that is longer and hosts lend.
  std::chrono::milliseconds FlushInterval(
      std::chrono::milliseconds per_host) const;

  BudgetManagerParts parts;
  std::unique_ptr<LoanManager> loans;
  std::string holder;
  std::map<std::uint64_t, BucketSync> buckets;
  std::map<std::uint64_t, GrantRequests> requests;
  std::set<std::uint64_t> busy_buckets;
  std::atomic<bool> draw_requested{false};
  // During shutdown: start of the wait for loans, time of the last report.
  std::optional<Clock::time_point> loan_wait_started;
  Clock::time_point last_report;
  Clock::time_point last_counters;
  bool holder_ended = false;
};

BudgetManager::BudgetManager(BudgetManagerParts parts)
    : d_(std::make_shared<Private>()) {
  d_->parts = std::move(parts);
  d_->parts.ledger->With(
      [this](HostLedger& ledger) { d_->holder = ledger.holder(); });
  d_->CreateLoanManager();
}

void BudgetManager::Private::CreateLoanManager() {
  LoanManagerParts loan;
  loan.control = parts.control;
  loan.platform = parts.platform;
  loan.ledger = parts.ledger;
  loan.fleet = parts.fleet;
  loan.holder = holder;
  loan.failure_domain = parts.failure_domain;
  loan.hosts_in_domain = parts.hosts_in_domain;
  loan.reserve_percent_of = [this](const std::string& name) {
    return FindSetting(name).value_or(BudgetSetting()).reserve_percent;
  };
  loan.draw = [this](const std::vector<GrantRequest>& it) { DrawDirectly(it); };
  loan.draw_for_borrowers = [this](std::uint64_t it) { StartRound(it); };
  loans = std::make_unique<LoanManager>(std::move(loan));
}

BudgetManager::~BudgetManager() = default;

void BudgetManager::RequestDraw() {
  if (d_->draw_requested.exchange(true))
    return;
  asio::post(*d_->parts.control, [d = d_] { d->Draw(); });
}

bool BudgetManager::HandleFrame(const PeerFrame& frame) {
  return d_->loans->HandleFrame(frame);
}

boost::json::object BudgetManager::DumpLoans() const {
  return d_->loans->Dump();
}

void BudgetManager::Private::Draw() {
  draw_requested = false;
  std::vector<GrantRequest> grant_requests;
  parts.ledger->With(
      [&](HostLedger& ledger) { grant_requests = ledger.TakeGrantRequests(); });
  DrawDirectly(loans->RequestLoans(std::move(grant_requests)));
}

void BudgetManager::Private::DrawDirectly(
    const std::vector<GrantRequest>& grant_requests) {
  std::set<std::uint64_t> touched;
  for (const GrantRequest& it : grant_requests) {
    const std::uint64_t bucket = BucketOf(it.budget);
    touched.insert(bucket);
    auto [request, added] = requests[bucket].emplace(it.budget, it);
    if (added)
      continue;
    request->second.needed = AddSaturated(request->second.needed, it.needed);
    request->second.smallest = std::min(request->second.smallest, it.smallest);
    request->second.rate = it.rate;
  }
  for (std::uint64_t it : touched)
    StartRound(it);
}

void BudgetManager::Private::StartRound(std::uint64_t bucket) {
  if (busy_buckets.contains(bucket))
    return;
  auto self = shared_from_this();
  asio::co_spawn(
      *parts.control,
      [self, bucket]() -> asio::awaitable<void> {
        co_await self->SyncBucket(bucket, RoundKind::kDraw);
      },
      asio::detached);
}

std::optional<BudgetSetting> BudgetManager::Private::FindSetting(
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

BucketSync& BudgetManager::Private::GetBucketSync(std::uint64_t bucket) {
  auto it = buckets.find(bucket);
  if (it != buckets.end())
    return it->second;
  BucketSyncParts sync;
  sync.bucket = bucket;
  sync.domain = parts.failure_domain;
  sync.holder = holder;
  sync.setting_of = [this](const std::string& name) {
    return FindSetting(name);
  };
  sync.hosts_in_domain = parts.hosts_in_domain;
  sync.lender = loans->lender();
  return buckets.try_emplace(bucket, std::move(sync)).first->second;
}

GrantRequests BudgetManager::Private::TakeGrantRequests(std::uint64_t bucket,
                                                        RoundKind kind) {
  GrantRequests current = std::move(requests[bucket]);
  requests.erase(bucket);
  loans->AddBorrowerRequests(bucket, current);
  if (kind == RoundKind::kFlush && loans->enabled()) {
    parts.ledger->With([&](HostLedger& ledger) {
      for (GrantRequest& it : ledger.StockRequests(bucket, Clock::now()))
        current.emplace(it.budget, it);
    });
  }
  return current;
}

// Runs sync rounds until no request is left for the bucket. Requests that
// arrive during a round are served by the next one.
asio::awaitable<bool> BudgetManager::Private::SyncBucket(std::uint64_t bucket,
                                                         RoundKind kind) {
  if (!busy_buckets.insert(bucket).second)
    co_return false;
  BucketSync& sync = GetBucketSync(bucket);
  bool more = true;
  while (more) {
    GrantRequests current = TakeGrantRequests(bucket, kind);
    const bool refresh =
        kind == RoundKind::kFlush && loans->enabled() && sync.IsNearlyScarce();
    sync.BeginRound(current, kind == RoundKind::kClose, refresh);
    co_await RunRound(sync);
    DeliverGrants(current, sync.result());
    loans->FinishRound(bucket, sync.result());
    GrantRequests left;
    more =
        loans->AddBorrowerRequests(bucket, left) || requests.contains(bucket);
    if (kind == RoundKind::kFlush)
      kind = RoundKind::kDraw;
  }
  busy_buckets.erase(bucket);
  co_return sync.result().reason.code == ResultCode::kOk;
}

asio::awaitable<void> BudgetManager::Private::RunRound(BucketSync& sync) {
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

// Wakes the waiting requests with their grant or with the reason why there is
// none.
void BudgetManager::Private::DeliverGrants(const GrantRequests& wanted,
                                           const SyncResult& result) {
  for (const std::string& it : result.grants) {
    std::int64_t granted = 0;
    parts.ledger->With(
        [&](HostLedger& ledger) { granted = ledger.Counters(it).granted; });
    parts.ledger->Grant(it, granted);
  }
  if (result.reason.code != ResultCode::kOk) {
    for (const auto& [name, request] : wanted) {
      parts.ledger->Deny(
          name, request.smallest,
          {ResultCode::kBudgetUnreachable,
           "cannot draw from budget " + name + ": " + result.reason.text});
    }
    return;
  }
  for (const auto& [name, request] : result.short_of_tokens) {
    Reason reason{ResultCode::kBudgetExhausted,
                  "budget " + name + " has too few tokens left"};
    if (!result.complete) {
      reason = {
          ResultCode::kBudgetUnreachable,
          "budget " + name +
              " has too few tokens left in the part that can be read now"};
    }
    parts.ledger->Deny(name, request.smallest, reason);
  }
}

asio::awaitable<bool> BudgetManager::Private::FlushBills() {
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

// Writes bills before counters: if this host ends abruptly, its bills then
// prove what it settled.
asio::awaitable<bool> BudgetManager::Private::FlushBillsAndCounters() {
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
  loans->SendReports();
  const Clock::time_point now = Clock::now();
  if (loans->enabled() &&
      now - last_counters < FlushInterval(kCountersIntervalPerHost))
    co_return done;
  last_counters = now;
  for (std::uint64_t it : dirty)
    done = co_await SyncBucket(it, RoundKind::kFlush) && done;
  co_return done;
}

// Removes this holder's rows. They stay in a bucket that has an open
// reservation, and in one where a grant turned up whose answer had been lost:
// the next attempt returns that grant.
asio::awaitable<bool> BudgetManager::Private::CloseHolder() {
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
    done = co_await SyncBucket(it, RoundKind::kClose) && done;
    done = done && !GetBucketSync(it).NeedsRound();
  }
  parts.ledger->With(
      [&](HostLedger& ledger) { done = done && ledger.HeldBuckets().empty(); });
  co_return done;
}

std::chrono::milliseconds BudgetManager::Private::FlushInterval(
    std::chrono::milliseconds per_host) const {
  if (!loans->enabled())
    return parts.flush_interval;
  return std::max(parts.flush_interval, parts.hosts_in_domain() * per_host);
}

asio::awaitable<void> BudgetManager::Run() {
  auto d = d_;
  asio::co_spawn(*d->parts.control, d->loans->Run(), asio::detached);
  asio::steady_timer timer(*d->parts.control);
  for (;;) {
    timer.expires_after(d->FlushInterval(kFlushIntervalPerHost));
    co_await timer.async_wait(asio::use_awaitable);
    d->parts.ledger->With(
        [](HostLedger& ledger) { ledger.GiveBackIdle(Clock::now(), false); });
    co_await d->FlushBillsAndCounters();
  }
}

// Records the end of the holder last: after it the holder must not reserve, and
// live borrowers close their loans with it.
asio::awaitable<bool> BudgetManager::FlushAll() {
  auto d = d_;
  const Clock::time_point now = Clock::now();
  d->loans->StopLending();
  d->parts.ledger->With(
      [&](HostLedger& ledger) { ledger.GiveBackIdle(now, true); });
  if (!co_await d->FlushBills())
    co_return false;
  const bool closed = co_await d->CloseHolder();
  if (!d->loans->enabled() || d->holder_ended)
    co_return closed;
  if (!d->loan_wait_started)
    d->loan_wait_started = now;
  if (now - d->last_report >= kShutdownReportInterval) {
    d->loans->SendReports();
    d->last_report = now;
  }
  const bool returned = closed && d->loans->AllReportsAcknowledged();
  if (!returned && now - *d->loan_wait_started < kLoanReturnTimeout)
    co_return false;
  bool idle = false;
  d->parts.ledger->With([&](HostLedger& ledger) {
    idle = ledger.open_reservations() == 0 && ledger.unconfirmed_bills() == 0;
    if (idle)
      ledger.Fence();
  });
  d->holder_ended = idle && co_await d->loans->RunClosingRound(true);
  co_return d->holder_ended;
}

}  // namespace turmericwinch
