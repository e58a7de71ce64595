#include "libs/gateway/account_manager.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <limits>
#include <random>

#include "libs/base/log.h"
#include "libs/budget/fleet_holder.h"
#include "libs/gateway/budget_demands.h"
#include "libs/gateway/peer_loans.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"account"};

// Result of a write to the account.
enum class WriteOutcome { kDone, kConflict, kFailed };

std::int64_t MillisecondsSince(Clock::time_point time) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - time).count();
}

}  // namespace

class AccountManager::Private {
 public:
  Private(GatewayContext& context, PlatformClient& platform)
      : context(context),
        platform(platform),
        timer(context.control),
        holder(context.ledger_holder(),
               context.boot.id,
               context.peers.address()),
        loans(context, [this](const FailedLoanSearch& it) {
          this->context.ledger.Deny(it.budget, it.smallest, it.reason);
        }) {}

  // Reads the account. Returns false if the read failed.
  asio::awaitable<bool> ReadAccount();
  asio::awaitable<WriteOutcome> WriteAccount();
  // Requests and returns tokens until every budget is as planned or the store
  // fails.
  asio::awaitable<bool> Sync();
  // Prepares the next write. Returns whether the account should be written now.
  bool PlanWrite();
  // Stops all spending after another process closed this holder.
  void StopSpending();
  void LogChangedRows();
  void SetReachable(bool now);
  // Opens all tokens that the host holds once the store has been unavailable
  // for long enough.
  void OpenAllTokens();
  // Calls OpenAllTokens() at each sync interval. Sync() alone would be too
  // late: a call to a store that is cut off may take its whole timeout.
  asio::awaitable<void> OpenAllTokensPeriodically();
  // Records the costs of settled requests and removes their bills. No other
  // code of the gateway reads bills; only the counters have to persist.
  void ConsumeBills(HostLedger& ledger);
  // Records how many tokens the waiting requests need in each budget.
  void RecordWaiting(HostLedger& ledger);
  // Asks other hosts for the tokens that waiting requests need. Denies the
  // requests with `reason` if no other host can be asked.
  void BorrowOrDeny(const Reason& reason);
  Reason UnreachableReason() const;
  // Borrows for all requests that wait now.
  void BorrowForWaiting();
  // Borrows for waiting requests if a sync has not ended after kBorrowDelay.
  asio::awaitable<void> BorrowAfterDelay();

  GatewayContext& context;
  PlatformClient& platform;
  asio::steady_timer timer;
  const Clock::time_point start = Clock::now();
  Clock::time_point synced_at = start;
  std::minstd_rand random{std::random_device{}()};
  // Whether the last sync succeeded.
  bool reachable = true;
  // Whether a sync was requested since the last sync started.
  bool sync_requested = false;
  // Start time of the running sync.
  std::optional<Clock::time_point> sync_start;
  // Whether BorrowAfterDelay() is running.
  bool borrow_scheduled = false;
  // Whether the account in `holder` is up to date: no write failed since it was
  // last read.
  bool is_current = false;
  // Version of the account object; 0 until the object exists.
  std::uint64_t version = 0;
  FleetHolder holder;
  PeerLoans loans;
  // This host's rows as last logged, by budget.
  std::map<std::string, FleetRow> logged_rows;
  BudgetDemands demands{start};
  // Tokens that waiting requests need, by budget.
  std::map<std::string, GrantRequest> waiting;
  // Reason of the last failed call to the store.
  Reason reason;
  AccountStats stats;
};

void AccountManager::Private::ConsumeBills(HostLedger& ledger) {
  const std::vector<Bill> bills =
      ledger.UnconfirmedBills(std::numeric_limits<std::size_t>::max());
  for (const Bill& it : bills)
    demands.RecordRequestCost(it.budget, it.tokens);
  if (!bills.empty())
    ledger.ConfirmBills(bills.back().sequence);
}

asio::awaitable<bool> AccountManager::Private::ReadAccount() {
  std::optional<PlatformObject> object =
      co_await platform.Get(PlatformDuty::kBudget, kFleetAccountName, &reason);
  ++stats.reads;
  if (!object && reason.code != ResultCode::kPlatformNotFound) {
    ++stats.failures;
    co_return false;
  }
  FleetAccount account;
  version = 0;
  if (object) {
    stats.bytes_read += object->value.size();
    std::optional<FleetAccount> read =
        ParseFleetAccount(object->value, &reason);
    if (!read) {
      LogEvent(kLog, Severity::kError, "account_unreadable",
               {{"version", object->version}, {"reason", reason.text}});
      co_return false;
    }
    account = std::move(*read);
    version = object->version;
  }
  holder.LoadAccount(std::move(account), context.boot.now());
  is_current = true;
  context.retries.SetHostCount(holder.known_account().HostCount());
  context.peers.UpdateAddresses(holder.known_account());
  co_return true;
}

// Grant requests hold the missing tokens. `waiting` holds the needed tokens in
// total, so the available ones are added.
void AccountManager::Private::RecordWaiting(HostLedger& ledger) {
  for (GrantRequest it : ledger.TakeGrantRequests()) {
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(it.budget), 0);
    it.needed += available;
    it.smallest += available;
    waiting[it.budget] = it;
  }
}

bool AccountManager::Private::PlanWrite() {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!config)
    return false;
  bool is_due = false;
  context.ledger.With([&](HostLedger& ledger) {
    ConsumeBills(ledger);
    RecordWaiting(ledger);
    std::map<std::string, HolderDemand> demands_by_budget;
    for (const auto& [name, budget] : config->objects->budgets()) {
      const HolderCounters counters = ledger.Counters(name);
      demands.RecordUsed(
          name, counters.granted - counters.given_back - ledger.Available(name),
          Clock::now());
      auto request = waiting.find(name);
      demands_by_budget[name] = {
          budget.tokens, request == waiting.end() ? 0 : request->second.needed,
          demands.Rate(name, Clock::now()), demands.AverageRequestCost(name)};
    }
    is_due = holder.PlanWrite(demands_by_budget, ledger, context.boot.now());
  });
  return is_due;
}

asio::awaitable<WriteOutcome> AccountManager::Private::WriteAccount() {
  holder.BeginWrite(context.boot.now());
  std::string value = ToJson(holder.planned_account());
  ++stats.writes;
  stats.bytes_written += value.size();
  std::optional<std::uint64_t> answer;
  if (version == 0) {
    answer = co_await platform.Create(PlatformDuty::kBudget, kFleetAccountName,
                                      std::move(value), &reason);
  } else {
    PlatformObject object{kFleetAccountName, version, std::move(value)};
    answer = co_await platform.Update(PlatformDuty::kBudget, std::move(object),
                                      &reason);
  }
  if (!answer) {
    is_current = false;
    const bool conflict = reason.code == ResultCode::kPlatformConflict ||
                          reason.code == ResultCode::kPlatformExists;
    ++(conflict ? stats.conflicts : stats.failures);
    co_return conflict ? WriteOutcome::kConflict : WriteOutcome::kFailed;
  }
  version = *answer;
  const std::map<std::string, std::int64_t> granted = holder.ConfirmWrite();
  for (const auto& [name, total] : granted)
    context.ledger.Grant(name, total);
  LogChangedRows();
  co_return WriteOutcome::kDone;
}

void AccountManager::Private::StopSpending() {
  SetReachable(false);
  context.ledger.With([this](HostLedger& ledger) {
    if (ledger.fenced())
      return;
    ledger.Fence();
    LogEvent(kLog, Severity::kError, "holder_closed",
             {{"holder", context.ledger_holder()}, {"version", version}});
  });
  BorrowOrDeny(
      {ResultCode::kBudgetUnreachable,
       "another process of this host closed this holder and took over its "
       "tokens"});
}

// Logs one event for each budget whose row was changed by this write.
void AccountManager::Private::LogChangedRows() {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  for (const auto& [name, budget] : holder.known_account().budgets) {
    auto row = budget.rows.find(context.ledger_holder());
    if (row == budget.rows.end() || logged_rows[name] == row->second)
      continue;
    logged_rows[name] = row->second;
    auto paid = config->objects->budgets().find(name);
    LogEvent(
        kLog, Severity::kInfo, "account_row",
        {{"budget", name},
         {"paid",
          paid == config->objects->budgets().end() ? 0 : paid->second.tokens},
         {"granted", row->second.granted},
         {"given_back", row->second.given_back},
         {"opened", row->second.opened},
         {"closed", budget.closed},
         {"spent", budget.Spent()},
         {"version", version}});
  }
}

void AccountManager::Private::SetReachable(bool now) {
  reachable = now;
  if (now)
    synced_at = Clock::now();
  // While the account is unavailable, requests may still wait for tokens that
  // other hosts lend.
  context.ledger.SetReachable(now || context.peers.enabled());
}

void AccountManager::Private::OpenAllTokens() {
  if (reachable)
    return;
  std::map<std::string, std::int64_t> granted;
  context.ledger.With([&](HostLedger& ledger) {
    granted = holder.OpenAll(ledger, context.boot.now());
  });
  for (const auto& [name, total] : granted) {
    context.ledger.Grant(name, total);
    LogEvent(
        kLog, Severity::kWarning, "stock_opened",
        {{"budget", name},
         {"granted", total},
         {"version", version},
         {"since_ms", (context.boot.now() - holder.last_issued()).count()}});
  }
}

asio::awaitable<void> AccountManager::Private::OpenAllTokensPeriodically() {
  asio::steady_timer sync_timer(context.control);
  for (;;) {
    sync_timer.expires_after(kAccountSyncInterval);
    co_await sync_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    OpenAllTokens();
  }
}

// A budget is reported as exhausted only if no host has enough tokens left for
// the request, because callers do not retry after that response.
void AccountManager::Private::BorrowOrDeny(const Reason& why) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  for (const auto& [name, request] : std::exchange(waiting, {})) {
    std::int64_t available = 0;
    context.ledger.With([&, &budget = name](HostLedger& ledger) {
      available = ledger.Available(budget);
    });
    if (available >= request.needed)
      continue;
    Reason denial = why;
    auto budget = holder.known_account().budgets.find(name);
    auto paid = config->objects->budgets().find(name);
    if (why.code == ResultCode::kBudgetExhausted &&
        budget != holder.known_account().budgets.end() &&
        paid != config->objects->budgets().end() &&
        paid->second.tokens - budget->second.Spent() >= request.smallest) {
      denial = {ResultCode::kBudgetUnreachable,
                "other hosts hold the remaining tokens of budget " + name};
    }
    GrantRequest missing = request;
    missing.needed = std::max<std::int64_t>(request.needed - available, 0);
    missing.smallest = std::max<std::int64_t>(request.smallest - available, 0);
    if (context.peers.enabled())
      loans.RequestLoan(missing, holder.known_account(), denial);
    else
      context.ledger.Deny(name, missing.smallest, denial);
  }
}

Reason AccountManager::Private::UnreachableReason() const {
  return {ResultCode::kBudgetUnreachable,
          "this host has too few tokens, no other host lends them, and the "
          "account is unavailable: " +
              reason.text};
}

void AccountManager::Private::BorrowForWaiting() {
  OpenAllTokens();
  context.ledger.With([this](HostLedger& ledger) { RecordWaiting(ledger); });
  BorrowOrDeny(UnreachableReason());
}

asio::awaitable<void> AccountManager::Private::BorrowAfterDelay() {
  asio::steady_timer delay_timer(context.control, kBorrowDelay);
  co_await delay_timer.async_wait(asio::as_tuple(asio::use_awaitable));
  borrow_scheduled = false;
  if (sync_start && Clock::now() - *sync_start >= kBorrowDelay)
    BorrowForWaiting();
}

asio::awaitable<bool> AccountManager::Private::Sync() {
  OpenAllTokens();
  // Reads first: other hosts have most likely written the account since, and a
  // write to a store that is cut off would delay the use of the stock.
  if (PlanWrite())
    is_current = false;
  for (int n = 0; n < kMaxAccountConflicts; ++n) {
    if (!is_current) {
      const bool is_read = co_await ReadAccount();
      if (!is_read)
        break;
    }
    if (holder.is_closed()) {
      StopSpending();
      co_return false;
    }
    const bool is_due = PlanWrite();
    WriteOutcome outcome = WriteOutcome::kDone;
    if (is_due)
      outcome = co_await WriteAccount();
    if (outcome == WriteOutcome::kDone) {
      SetReachable(true);
      BorrowOrDeny(
          {ResultCode::kBudgetExhausted,
           "the remaining tokens of the budget do not cover the request"});
      co_return true;
    }
    if (outcome == WriteOutcome::kFailed)
      break;
    const milliseconds max_pause =
        kInitialConflictPause * (1 << std::min(n, 6));
    timer.expires_after(milliseconds(random() % (max_pause.count() + 1)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  LogEvent(kLog, Severity::kWarning, "account_out_of_reach",
           {{"code", static_cast<int>(reason.code)},
            {"reason", reason.text},
            {"ms", MillisecondsSince(*sync_start)},
            {"reads", stats.reads},
            {"writes", stats.writes},
            {"conflicts", stats.conflicts},
            {"bytes", stats.bytes_read + stats.bytes_written}});
  SetReachable(false);
  OpenAllTokens();
  BorrowOrDeny(UnreachableReason());
  co_return false;
}

AccountManager::AccountManager(GatewayContext& context,
                               PlatformClient& platform)
    : d_(std::make_unique<Private>(context, platform)) {}

AccountManager::~AccountManager() = default;

asio::awaitable<void> AccountManager::Run() {
  asio::co_spawn(d_->context.control, d_->OpenAllTokensPeriodically(),
                 asio::detached);
  for (;;) {
    milliseconds pause = kAccountSyncInterval;
    if (!d_->context.draining && d_->context.config.Get()) {
      d_->sync_requested = false;
      d_->sync_start = Clock::now();
      const bool ok = co_await d_->Sync();
      d_->sync_start.reset();
      if (!ok)
        pause = kStoreRetryPause;
    }
    // Syncs again at once if a request began to wait during the sync.
    if (std::exchange(d_->sync_requested, false) &&
        pause == kAccountSyncInterval)
      continue;
    d_->timer.expires_after(pause);
    co_await d_->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    d_->sync_requested = false;
  }
}

void AccountManager::RequestSync() {
  asio::post(d_->context.control, [this] {
    if (!d_->reachable) {
      // The store is retried after kStoreRetryPause; other hosts are asked now.
      d_->BorrowForWaiting();
      return;
    }
    if (d_->context.peers.enabled() &&
        !std::exchange(d_->borrow_scheduled, true))
      asio::co_spawn(d_->context.control, d_->BorrowAfterDelay(),
                     asio::detached);
    d_->sync_requested = true;
    d_->timer.cancel();
  });
}

asio::awaitable<bool> AccountManager::Close() {
  d_->context.ledger.With([](HostLedger& ledger) { ledger.Fence(); });
  d_->loans.ReturnAll(d_->holder.known_account());
  for (int n = 0; n < kMaxAccountConflicts; ++n) {
    const bool is_read = co_await d_->ReadAccount();
    if (!is_read)
      co_return false;
    bool is_due = false;
    d_->context.ledger.With(
        [&](HostLedger& ledger) { is_due = d_->holder.PlanClose(ledger); });
    if (!is_due)
      co_return true;
    const WriteOutcome outcome = co_await d_->WriteAccount();
    if (outcome != WriteOutcome::kConflict)
      co_return outcome == WriteOutcome::kDone;
  }
  co_return false;
}

Clock::time_point AccountManager::synced_at() const {
  return d_->synced_at;
}

const AccountStats& AccountManager::stats() const {
  return d_->stats;
}

}  // namespace turmericwinch
