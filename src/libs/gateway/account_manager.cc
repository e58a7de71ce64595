#include "libs/gateway/account_manager.h"

#include <algorithm>
#include <limits>

#include "libs/base/log.h"
#include "libs/base/store_version.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/ranked_hosts.h"
#include "libs/gateway/account_manager_private.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/run_periodically.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"account"};

std::int64_t MillisecondsSince(Clock::time_point time) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - time).count();
}

}  // namespace

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
  version = {};
  if (object) {
    stats.bytes_read += object->value.size();
    std::optional<FleetAccount> read =
        ParseFleetAccount(object->value, &reason);
    if (!read) {
      LogEvent(kLog, Severity::kError, "account_unreadable",
               {{"version", ToText(object->version)}, {"reason", reason.text}});
      co_return false;
    }
    account = std::move(*read);
    version = object->version;
  }
  const std::uint64_t era = object ? object->version.era : platform.Era();
  holder.LoadAccount(std::move(account), context.boot.now(), era);
  LogSettledChange();
  is_current = true;
  const int hosts = holder.known_account().HostCount();
  context.retries.SetHostCount(hosts);
  platform.SetProbingHosts(std::clamp(static_cast<std::size_t>(hosts),
                                      kMinProbingHosts, kMaxProbingHosts));
  context.news.SetHosts(holder.known_account());
  writes.SetFleet(
      static_cast<std::size_t>(hosts),
      holder.stock_hosts().KeepsStock() || holder.has_introductions());
  context.peers.UpdateAddresses(holder.known_account());
  context.targets.SetFleet(HostNames(holder.known_account()));
  co_return true;
}

// Grant requests hold the missing tokens. `waiting` holds the needed tokens in
// total, so the available ones are added.
void AccountManager::Private::RecordWaiting(HostLedger& ledger) {
  for (GrantRequest& it : ledger.TakeGrantRequests()) {
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(it.budget), 0);
    it.needed += available;
    it.smallest += available;
    AddWaiting(std::move(it));
  }
}

void AccountManager::Private::AddWaiting(GrantRequest request) {
  auto [entry, added] = waiting.try_emplace(request.budget, request);
  if (added)
    return;
  GrantRequest& earlier = entry->second;
  earlier.needed = AddSaturated(earlier.needed, request.needed);
  earlier.smallest = std::min(earlier.smallest, request.smallest);
  earlier.sizes.insert(earlier.sizes.end(), request.sizes.begin(),
                       request.sizes.end());
}

bool AccountManager::Private::PlanWrite() {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!config)
    return false;
  bool is_due = false;
  CollectWaiting();
  const std::map<std::string, std::vector<std::int64_t>> deferred =
      loans.DeferredSizes();
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
        demand.waiting = it->second.sizes;
      if (auto it = deferred.find(name); it != deferred.end())
        demand.waiting.insert(demand.waiting.end(), it->second.begin(),
                              it->second.end());
      if (auto it = lent_at.find(name); it != lent_at.end())
        demand.lends = Clock::now() - it->second < kLenderRoleTime;
    }
    is_due = holder.PlanWrite(demands_by_budget, ledger, context.boot.now());
  });
  return is_due && !(WaitsForIntroduction() && waiting.empty());
}

asio::awaitable<WriteOutcome> AccountManager::Private::WriteAccount() {
  holder.BeginWrite(context.boot.now());
  std::string value = ToJson(holder.planned_account());
  ++stats.writes;
  stats.bytes_written += value.size();
  std::optional<StoreVersion> answer;
  if (!version.IsSet()) {
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
  LogSettledChange();
  for (const auto& [name, total] : granted)
    context.ledger.Grant(name, total);
  LogChangedRows();
  co_return WriteOutcome::kDone;
}

void AccountManager::Private::LogSettledChange() {
  if (holder.is_settled() == logged_settled)
    return;
  logged_settled = holder.is_settled();
  LogEvent(kLog, Severity::kWarning,
           logged_settled ? "account_settled" : "account_unsettled",
           {{"era", holder.era()}, {"version", ToText(version)}});
}

Reason AccountManager::Private::UnmetReason() const {
  if (!holder.is_settled()) {
    return {ResultCode::kBudgetUnreachable,
            "the store came back from an old copy, and the hosts have not yet "
            "added what they hold to the account"};
  }
  return {ResultCode::kBudgetExhausted,
          "the remaining tokens of the budget do not cover the request"};
}

void AccountManager::Private::StopSpending() {
  SetReachable(false);
  context.ledger.With([this](HostLedger& ledger) {
    if (ledger.fenced())
      return;
    ledger.Fence();
    LogEvent(
        kLog, Severity::kError, "holder_closed",
        {{"holder", context.ledger_holder()}, {"version", ToText(version)}});
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
         {"version", ToText(version)}});
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

void AccountManager::Private::SyncSoon() {
  sync_requested = true;
  timer.cancel();
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
         {"version", ToText(version)},
         {"since_ms", (context.boot.now() - holder.last_issued()).count()}});
  }
}

asio::awaitable<bool> AccountManager::Private::Sync() {
  OpenAllTokens();
  // Reads first: other hosts have most likely written the account since, and a
  // write to a store that is cut off would delay the use of the stock.
  if (PlanWrite()) {
    is_current = false;
  } else if (Clock::now() - read_at >= refresh_pause ||
             platform.Era() != holder.era()) {
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
    if (is_due && writes.ShouldBeIntroduced(n, introduced_until.has_value()) &&
        RequestIntroduction()) {
      BorrowOrDeny(UnmetReason());
      co_return true;
    }
    WriteOutcome outcome = WriteOutcome::kDone;
    if (is_due)
      outcome = co_await WriteAccount();
    if (outcome == WriteOutcome::kDone) {
      SetReachable(true);
      BorrowOrDeny(UnmetReason());
      co_return true;
    }
    if (outcome == WriteOutcome::kFailed)
      break;
    const milliseconds max_pause = writes.MaxConflictPause(n);
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
  // Sync() alone would open the tokens too late: a call to a store that is cut
  // off may take its whole timeout.
  asio::co_spawn(d_->context.control,
                 RunPeriodically(d_->context.control, kAccountSyncInterval,
                                 [d = d_.get()] { d->OpenAllTokens(); }),
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
