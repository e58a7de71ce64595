#include "libs/gateway/account_manager.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <limits>
#include <random>
#include <set>

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
               context.peers.address(),
               context.settings.failure_domain),
        loans(
            context,
            [this](const FailedLoanSearch& it) { HandleFailedSearch(it); },
            [this](const LoanRequestItem& it) { return DrawForBorrower(it); }) {
  }

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
  // Adds the requests that wait now to `waiting`, and borrows for those that
  // another host of this failure domain should serve.
  void CollectWaiting();
  // What `request` needs beyond the tokens that this host has available.
  GrantRequest Missing(const GrantRequest& request);
  void HandleFailedSearch(const FailedLoanSearch& search);
  // Starts a sync that draws tokens for a borrower. Returns false if the store
  // is unavailable or if MayDrawForLoan() is false.
  bool DrawForBorrower(const LoanRequestItem& request);
  // Starts the next sync now.
  void SyncSoon();
  // Gets tokens for `waiting` from the account, or from any other host if the
  // account does not answer soon.
  void SyncForWaiting();
  void LogOutOfReach();
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
  // Budgets of which no host of this failure domain lent enough tokens, so that
  // the requests in `waiting` draw them from the account.
  std::set<std::string> drawn_directly;
  // When another host last requested tokens of a budget that this host had to
  // draw.
  std::map<std::string, Clock::time_point> lent_at;
  // When the account was last read, and the time until it is read again
  // although nothing has to be written.
  Clock::time_point read_at = start;
  milliseconds refresh_pause = kFirstAccountRefresh;
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
  read_at = Clock::now();
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
  CollectWaiting();
  const std::map<std::string, std::int64_t> deferred = loans.DeferredTokens();
  context.ledger.With([&](HostLedger& ledger) {
    ConsumeBills(ledger);
    std::map<std::string, HolderDemand> demands_by_budget;
    for (const auto& [name, budget] : config->objects->budgets()) {
      const HolderCounters counters = ledger.Counters(name);
      demands.RecordUsed(
          name, counters.granted - counters.given_back - ledger.Available(name),
          Clock::now());
      HolderDemand& demand = demands_by_budget[name];
      demand.paid = budget.tokens;
      demand.rate = demands.Rate(name, Clock::now());
      demand.request_cost = demands.AverageRequestCost(name);
      if (auto it = waiting.find(name); it != waiting.end())
        demand.needed += it->second.needed;
      if (auto it = deferred.find(name); it != deferred.end())
        demand.needed += it->second;
      if (auto it = lent_at.find(name); it != lent_at.end())
        demand.lends = Clock::now() - it->second < kLenderRoleTime;
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
    const bool conflict = IsWriteConflict(reason.code);
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

void AccountManager::Private::CollectWaiting() {
  context.ledger.With([this](HostLedger& ledger) { RecordWaiting(ledger); });
  if (!context.peers.enabled())
    return;
  // A loan that fails at once changes `waiting`, so loans start after the loop.
  std::vector<std::pair<GrantRequest, std::vector<LenderEndpoint>>>
      domain_loans;
  std::erase_if(waiting, [&](const auto& entry) {
    const auto& [name, request] = entry;
    std::vector<LenderEndpoint> lenders = holder.stock_hosts().LendersFor(name);
    if (lenders.empty() || drawn_directly.contains(name))
      return false;
    const GrantRequest missing = Missing(request);
    if (missing.needed > 0)
      domain_loans.emplace_back(missing, std::move(lenders));
    return true;
  });
  for (auto& [request, lenders] : domain_loans) {
    loans.RequestLoan(request, LoanScope::kDomain, std::move(lenders),
                      {ResultCode::kBudgetUnreachable,
                       "no host of the failure domain lends the tokens"});
  }
}

GrantRequest AccountManager::Private::Missing(const GrantRequest& request) {
  std::int64_t available = 0;
  context.ledger.With([&](HostLedger& ledger) {
    available = ledger.Available(request.budget);
  });
  GrantRequest missing = request;
  missing.needed = std::max<std::int64_t>(request.needed - available, 0);
  missing.smallest = std::max<std::int64_t>(request.smallest - available, 0);
  return missing;
}

void AccountManager::Private::HandleFailedSearch(
    const FailedLoanSearch& search) {
  const std::string& budget = search.request.budget;
  if (search.scope == LoanScope::kFleet) {
    context.ledger.Deny(budget, search.request.smallest, search.reason);
    return;
  }
  drawn_directly.insert(budget);
  context.ledger.With([&](HostLedger& ledger) {
    GrantRequest request = search.request;
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(budget), 0);
    request.needed += available;
    request.smallest += available;
    waiting[budget] = request;
  });
  SyncForWaiting();
}

bool AccountManager::Private::DrawForBorrower(const LoanRequestItem& request) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!reachable || context.draining || !config)
    return false;
  auto budget = config->objects->budgets().find(request.budget);
  if (budget == config->objects->budgets().end() ||
      !holder.MayDrawForLoan(request.budget, budget->second.tokens,
                             request.smallest))
    return false;
  lent_at[request.budget] = Clock::now();
  SyncSoon();
  return true;
}

void AccountManager::Private::SyncSoon() {
  sync_requested = true;
  timer.cancel();
}

void AccountManager::Private::SyncForWaiting() {
  if (!reachable) {
    // The store is retried after kStoreRetryPause; other hosts are asked now.
    OpenAllTokens();
    BorrowOrDeny(UnreachableReason());
    return;
  }
  if (context.peers.enabled() && !std::exchange(borrow_scheduled, true))
    asio::co_spawn(context.control, BorrowAfterDelay(), asio::detached);
  SyncSoon();
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
  drawn_directly.clear();
  for (const auto& [name, request] : std::exchange(waiting, {})) {
    const GrantRequest missing = Missing(request);
    if (missing.needed == 0)
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
    if (context.peers.enabled())
      loans.RequestLoan(
          missing, LoanScope::kFleet,
          FindLenders(holder.known_account(), name, context.ledger_holder()),
          denial);
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
  CollectWaiting();
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
  if (PlanWrite()) {
    is_current = false;
  } else if (Clock::now() - read_at >= refresh_pause) {
    refresh_pause = std::min(refresh_pause * 2, kMaxAccountRefresh);
    // Nothing has to be written, so the account as last read will do.
    const bool is_read = co_await ReadAccount();
    if (!is_read)
      LogOutOfReach();
  }
  for (int n = 0; n < kMaxWriteConflicts; ++n) {
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
    // Not `timer`, which SyncSoon() cancels: a sync that is requested meanwhile
    // must not shorten the pause.
    asio::steady_timer pause(context.control,
                             milliseconds(random() % (max_pause.count() + 1)));
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  LogOutOfReach();
  SetReachable(false);
  OpenAllTokens();
  BorrowOrDeny(UnreachableReason());
  co_return false;
}

void AccountManager::Private::LogOutOfReach() {
  LogEvent(kLog, Severity::kWarning, "account_out_of_reach",
           {{"code", static_cast<int>(reason.code)},
            {"reason", reason.text},
            {"ms", MillisecondsSince(*sync_start)},
            {"reads", stats.reads},
            {"writes", stats.writes},
            {"conflicts", stats.conflicts},
            {"bytes", stats.bytes_read + stats.bytes_written}});
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
      d_->loans.AnswerDeferred(ok && d_->sync_requested);
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
  asio::post(d_->context.control, [this] { d_->SyncSoon(); });
}

void AccountManager::RequestTokens() {
  asio::post(d_->context.control, [this] {
    d_->CollectWaiting();
    if (!d_->waiting.empty())
      d_->SyncForWaiting();
  });
}

asio::awaitable<bool> AccountManager::Close() {
  d_->context.ledger.With([](HostLedger& ledger) { ledger.Fence(); });
  d_->loans.ReturnAll(d_->holder.known_account());
  for (int n = 0; n < kMaxWriteConflicts; ++n) {
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
