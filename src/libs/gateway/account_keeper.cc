#include "libs/gateway/account_keeper.h"

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

// How a write ended.
enum class WriteEnd { kDone, kConflict, kFailed };

}  // namespace

class AccountKeeper::Private {
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

  // Reads the account. False if the store gave no answer.
  asio::awaitable<bool> Read();
  asio::awaitable<WriteEnd> Write();
  // Draws and gives back until every budget is as planned or the store fails.
  asio::awaitable<bool> Sync();
  // Whether the account should be written now. Prepares the write.
  bool Plan();
  // Another process closed this holder: nothing may be spent any more.
  void EndSpending();
  void LogRows();
  void SetReachable(bool now);
  // Opens all that the host holds once it has been out of touch for long.
  void OpenAll();
  // The same at each tick: a call into a cut may take its whole time limit.
  asio::awaitable<void> OpenAllAtTicks();
  // Notes what requests cost. Nobody reads bills here: what must last of them
  // is the counters.
  void TakeBills(HostLedger& ledger);
  // Notes the requests that wait for tokens.
  void NoteWaiting(HostLedger& ledger);
  // Looks at other hosts for what waiting requests need; where there is none,
  // tells them why.
  void BorrowOrDeny(const Reason& reason);
  Reason Unreachable() const;
  // Does so for all that wait now.
  void BorrowForWaiting();
  // Does so if the store has not answered kGrantPatience later.
  asio::awaitable<void> BorrowLater();

  GatewayContext& context;
  PlatformClient& platform;
  asio::steady_timer timer;
  const Clock::time_point start = Clock::now();
  Clock::time_point synced_at = start;
  std::minstd_rand random{std::random_device{}()};
  // Whether the last sync ended well.
  bool reachable = true;
  // Whether a request began to wait since the last sync started.
  bool woken = false;
  // When the sync under way started.
  std::optional<Clock::time_point> sync_start;
  // Whether BorrowLater() is under way.
  bool borrows_later = false;
  // Whether the account is as last read or written.
  bool known = false;
  // 0 until the object exists.
  std::uint64_t version = 0;
  FleetHolder holder;
  PeerLoans loans;
  std::map<std::string, FleetRow> logged;
  BudgetDemands demands{start};
  std::map<std::string, GrantRequest> waiting;
  Reason reason;
};

void AccountKeeper::Private::TakeBills(HostLedger& ledger) {
  const std::vector<Bill> bills =
      ledger.UnconfirmedBills(std::numeric_limits<std::size_t>::max());
  for (const Bill& it : bills)
    demands.NoteCost(it.budget, it.tokens);
  if (!bills.empty())
    ledger.ConfirmBills(bills.back().sequence);
}

asio::awaitable<bool> AccountKeeper::Private::Read() {
  std::optional<PlatformObject> object =
      co_await platform.Get(PlatformDuty::kBudget, kFleetAccountName, &reason);
  if (!object && reason.code != ResultCode::kPlatformNotFound)
    co_return false;
  FleetAccount account;
  version = 0;
  if (object) {
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
  known = true;
  context.retries.SetHosts(holder.known_account().HostCount());
  context.peers.Update(holder.known_account());
  co_return true;
}

// Wishes name what is missing; here they hold what is needed in all.
void AccountKeeper::Private::NoteWaiting(HostLedger& ledger) {
  for (GrantRequest it : ledger.TakeGrantRequests()) {
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(it.budget), 0);
    it.needed += available;
    it.smallest += available;
    waiting[it.budget] = it;
  }
}

bool AccountKeeper::Private::Plan() {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!config)
    return false;
  bool is_due = false;
  context.ledger.With([&](HostLedger& ledger) {
    TakeBills(ledger);
    NoteWaiting(ledger);
    std::map<std::string, HolderDemand> wishes;
    for (const auto& [name, budget] : config->objects->budgets()) {
      const HolderCounters counters = ledger.Counters(name);
      demands.NoteUsed(
          name, counters.granted - counters.given_back - ledger.Available(name),
          Clock::now());
      auto wish = waiting.find(name);
      wishes[name] = {
          budget.tokens, wish == waiting.end() ? 0 : wish->second.needed,
          demands.Rate(name, Clock::now()), demands.RequestCost(name)};
    }
    is_due = holder.PlanWrite(wishes, ledger, context.boot.now());
  });
  return is_due;
}

asio::awaitable<WriteEnd> AccountKeeper::Private::Write() {
  holder.BeginWrite(context.boot.now());
  std::string value = ToJson(holder.planned_account());
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
    known = false;
    const bool conflict = reason.code == ResultCode::kPlatformConflict ||
                          reason.code == ResultCode::kPlatformExists;
    co_return conflict ? WriteEnd::kConflict : WriteEnd::kFailed;
  }
  version = *answer;
  const std::map<std::string, std::int64_t> granted = holder.ConfirmWrite();
  for (const auto& [name, total] : granted)
    context.ledger.Grant(name, total);
  LogRows();
  co_return WriteEnd::kDone;
}

void AccountKeeper::Private::EndSpending() {
  SetReachable(false);
  context.ledger.With([this](HostLedger& ledger) {
    if (ledger.fenced())
      return;
    ledger.Fence();
    LogEvent(kLog, Severity::kError, "holder_closed",
             {{"holder", context.ledger_holder()}, {"version", version}});
  });
  BorrowOrDeny({ResultCode::kBudgetUnreachable,
                "another process of this host has taken over its tokens"});
}

// One line for each budget whose row changed by this write.
void AccountKeeper::Private::LogRows() {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  for (const auto& [name, budget] : holder.known_account().budgets) {
    auto row = budget.rows.find(context.ledger_holder());
    if (row == budget.rows.end() || logged[name] == row->second)
      continue;
    logged[name] = row->second;
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

void AccountKeeper::Private::SetReachable(bool now) {
  reachable = now;
  if (now)
    synced_at = Clock::now();
  // Requests wait for other hosts' tokens while the account is out of reach.
  context.ledger.SetReachable(now || context.peers.enabled());
}

void AccountKeeper::Private::OpenAll() {
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

asio::awaitable<void> AccountKeeper::Private::OpenAllAtTicks() {
  asio::steady_timer tick(context.control);
  for (;;) {
    tick.expires_after(kAccountTick);
    co_await tick.async_wait(asio::as_tuple(asio::use_awaitable));
    OpenAll();
  }
}

// A budget is used up only if no host has tokens left that cover the request:
// callers do not come back after that answer.
void AccountKeeper::Private::BorrowOrDeny(const Reason& why) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  for (const auto& [name, wish] : std::exchange(waiting, {})) {
    std::int64_t available = 0;
    context.ledger.With([&, &budget = name](HostLedger& ledger) {
      available = ledger.Available(budget);
    });
    if (available >= wish.needed)
      continue;
    Reason told = why;
    auto budget = holder.known_account().budgets.find(name);
    auto paid = config->objects->budgets().find(name);
    if (why.code == ResultCode::kBudgetExhausted &&
        budget != holder.known_account().budgets.end() &&
        paid != config->objects->budgets().end() &&
        paid->second.tokens - budget->second.Spent() >= wish.smallest) {
      told = {ResultCode::kBudgetUnreachable,
              "other hosts hold the rest of the budget"};
    }
    GrantRequest missing = wish;
    missing.needed = std::max<std::int64_t>(wish.needed - available, 0);
    missing.smallest = std::max<std::int64_t>(wish.smallest - available, 0);
    if (context.peers.enabled())
      loans.Ask(missing, holder.known_account(), told);
    else
      context.ledger.Deny(name, missing.smallest, told);
  }
}

Reason AccountKeeper::Private::Unreachable() const {
  return {ResultCode::kBudgetUnreachable,
          "no tokens are granted to this host, no other one lends them, and "
          "the account is out of reach: " +
              reason.text};
}

void AccountKeeper::Private::BorrowForWaiting() {
  OpenAll();
  context.ledger.With([this](HostLedger& ledger) { NoteWaiting(ledger); });
  BorrowOrDeny(Unreachable());
}

asio::awaitable<void> AccountKeeper::Private::BorrowLater() {
  asio::steady_timer patience(context.control, kGrantPatience);
  co_await patience.async_wait(asio::as_tuple(asio::use_awaitable));
  borrows_later = false;
  if (sync_start && Clock::now() - *sync_start >= kGrantPatience)
    BorrowForWaiting();
}

asio::awaitable<bool> AccountKeeper::Private::Sync() {
  OpenAll();
  // A read first: others have most likely written since, and a write that is
  // sent into a cut would put off the use of the stock.
  if (Plan())
    known = false;
  for (int n = 0; n < kMostAccountConflicts; ++n) {
    if (!known) {
      const bool is_read = co_await Read();
      if (!is_read)
        break;
    }
    if (holder.is_closed()) {
      EndSpending();
      co_return false;
    }
    const bool is_due = Plan();
    WriteEnd end = WriteEnd::kDone;
    if (is_due)
      end = co_await Write();
    if (end == WriteEnd::kDone) {
      SetReachable(true);
      BorrowOrDeny({ResultCode::kBudgetExhausted,
                    "the rest of the budget does not cover the request"});
      co_return true;
    }
    if (end == WriteEnd::kFailed)
      break;
    const milliseconds most = kAccountConflictPause * (1 << std::min(n, 6));
    timer.expires_after(milliseconds(random() % (most.count() + 1)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  LogEvent(kLog, Severity::kWarning, "account_out_of_reach",
           {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
  SetReachable(false);
  OpenAll();
  BorrowOrDeny(Unreachable());
  co_return false;
}

AccountKeeper::AccountKeeper(GatewayContext& context, PlatformClient& platform)
    : d_(std::make_unique<Private>(context, platform)) {}

AccountKeeper::~AccountKeeper() = default;

asio::awaitable<void> AccountKeeper::Run() {
  asio::co_spawn(d_->context.control, d_->OpenAllAtTicks(), asio::detached);
  for (;;) {
    milliseconds pause = kAccountTick;
    if (!d_->context.draining && d_->context.config.Get()) {
      d_->woken = false;
      d_->sync_start = Clock::now();
      const bool ok = co_await d_->Sync();
      d_->sync_start.reset();
      if (!ok)
        pause = kStorePause;
    }
    // A request may have begun to wait while the account was being written.
    if (std::exchange(d_->woken, false) && pause == kAccountTick)
      continue;
    d_->timer.expires_after(pause);
    co_await d_->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    d_->woken = false;
  }
}

void AccountKeeper::Wake() {
  asio::post(d_->context.control, [this] {
    if (!d_->reachable) {
      // The store is asked again after its pause, others at once.
      d_->BorrowForWaiting();
      return;
    }
    if (d_->context.peers.enabled() && !std::exchange(d_->borrows_later, true))
      asio::co_spawn(d_->context.control, d_->BorrowLater(), asio::detached);
    d_->woken = true;
    d_->timer.cancel();
  });
}

asio::awaitable<bool> AccountKeeper::Close() {
  d_->context.ledger.With([](HostLedger& ledger) { ledger.Fence(); });
  d_->loans.ReturnAll(d_->holder.known_account());
  for (int n = 0; n < kMostAccountConflicts; ++n) {
    const bool is_read = co_await d_->Read();
    if (!is_read)
      co_return false;
    bool is_due = false;
    d_->context.ledger.With(
        [&](HostLedger& ledger) { is_due = d_->holder.PlanClose(ledger); });
    if (!is_due)
      co_return true;
    const WriteEnd end = co_await d_->Write();
    if (end != WriteEnd::kConflict)
      co_return end == WriteEnd::kDone;
  }
  co_return false;
}

Clock::time_point AccountKeeper::synced_at() const {
  return d_->synced_at;
}

}  // namespace turmericwinch
