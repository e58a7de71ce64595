#include "libs/gateway/account_keeper.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "libs/base/log.h"
#include "libs/budget/demand_rate.h"
#include "libs/budget/fleet_account.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"account"};

// Weight of one request in the average cost.
constexpr double kRequestWeight = 0.1;

// Demand of one budget at this host.
struct Demand {
  DemandRate rate{kFleetRateWindow};
  std::int64_t used = 0;
  // Usual cost of a request, 0 before the first.
  double request = 0;
};

// What is wanted of one budget in one write.
struct RowWish {
  HolderCounters counters;
  std::int64_t paid = 0;
};

// How a write ended.
enum class WriteEnd { kDone, kConflict, kFailed };

}  // namespace

class AccountKeeper::Private {
 public:
  Private(GatewayContext& context, PlatformClient& platform)
      : context(context), platform(platform), timer(context.control) {}

  // Reads the account if it is not known. False if the store gave no answer.
  asio::awaitable<bool> Read();
  asio::awaitable<WriteEnd> Write(std::map<std::string, RowWish> wishes,
                                  bool close);
  // Draws and gives back until every budget is as planned or the store fails.
  asio::awaitable<bool> Sync(bool close);
  // The rows to write now; empty if nothing is due.
  std::map<std::string, RowWish> Plan(bool close);
  // Notes what requests cost. Nobody reads bills here: what must last of them
  // is the counters.
  void TakeBills(HostLedger& ledger);
  void NoteDemand(const std::string& budget, std::int64_t used);
  double RateOf(const std::string& budget);
  void Grant(const std::map<std::string, RowWish>& wishes,
             const DomainShard& written);
  // Tells the requests that still wait why there is nothing for them.
  void DenyWaiting(const Reason& reason);

  GatewayContext& context;
  PlatformClient& platform;
  asio::steady_timer timer;
  const Clock::time_point start = Clock::now();
  std::minstd_rand random{std::random_device{}()};
  bool known = false;
  // 0 until the object exists.
  std::uint64_t version = 0;
  DomainShard account;
  std::map<std::string, Demand> demands;
  std::map<std::string, GrantWish> waiting;
  Reason reason;
};

void AccountKeeper::Private::TakeBills(HostLedger& ledger) {
  const std::vector<Bill> bills =
      ledger.UnconfirmedBills(std::numeric_limits<std::size_t>::max());
  for (const Bill& it : bills) {
    double& request = demands[it.budget].request;
    const auto tokens = static_cast<double>(it.tokens);
    request = request == 0 ? tokens
                           : request + kRequestWeight * (tokens - request);
  }
  if (!bills.empty())
    ledger.ConfirmBills(bills.back().sequence);
}

void AccountKeeper::Private::NoteDemand(const std::string& budget,
                                        std::int64_t used) {
  Demand& demand = demands[budget];
  demand.rate.Decay(Clock::now());
  if (used > demand.used) {
    demand.rate.Add(used - demand.used, Clock::now());
    demand.used = used;
  }
}

// The average is corrected for the time before the first request.
double AccountKeeper::Private::RateOf(const std::string& budget) {
  const std::chrono::duration<double> age = Clock::now() - start;
  const std::chrono::duration<double> window = kFleetRateWindow;
  return demands[budget].rate.Value() / (1 - std::exp(-age / window));
}

asio::awaitable<bool> AccountKeeper::Private::Read() {
  if (known)
    co_return true;
  std::optional<PlatformObject> object = co_await platform.Get(
      PlatformDuty::kBudget, kFleetAccountName, &reason);
  if (!object && reason.code != ResultCode::kPlatformNotFound)
    co_return false;
  account = {};
  version = 0;
  if (object) {
    std::optional<DomainShard> read = DomainShardOf(object->value, &reason);
    if (!read) {
      LogEvent(kLog, Severity::kError, "account_unreadable",
               {{"version", object->version}, {"reason", reason.text}});
      co_return false;
    }
    account = std::move(*read);
    version = object->version;
  }
  known = true;
  context.retries.SetHosts(HostsOf(account));
  co_return true;
}

std::map<std::string, RowWish> AccountKeeper::Private::Plan(bool close) {
  std::map<std::string, RowWish> rows;
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!config)
    return rows;
  bool is_due = close;
  const int hosts = HostsOf(account);
  const std::string holder = context.ledger_holder();
  context.ledger.With([&](HostLedger& ledger) {
    TakeBills(ledger);
    for (const GrantWish& it : ledger.TakeWishes())
      waiting[it.budget] = it;
    for (const auto& [name, budget] : config->objects->budgets()) {
      const HolderCounters counters = ledger.Counters(name);
      const std::int64_t available = ledger.Available(name);
      NoteDemand(name, counters.granted - counters.given_back - available);
      const ShardBudget& shared = account.budgets[name];
      auto wish = waiting.find(name);
      FleetDemand demand;
      demand.unspent = budget.tokens - shared.Spent();
      demand.free = shared.Free(budget.tokens);
      demand.available = available;
      demand.needed = wish == waiting.end() ? 0 : wish->second.needed;
      demand.part = DemandPart(shared, holder, budget.tokens, hosts);
      demand.rate = RateOf(name);
      demand.request = demands[name].request;
      const FleetDraw plan = PlanFleetDraw(demand);
      ledger.GiveBackAbove(name, close ? 0 : plan.keep);
      is_due = is_due || plan.is_due;
      RowWish row{ledger.Counters(name), budget.tokens};
      if (!close)
        row.counters.granted += plan.draw;
      if (shared.holders.contains(holder) || row.counters.granted > 0)
        rows.emplace(name, row);
    }
  });
  if (!is_due)
    rows.clear();
  return rows;
}

asio::awaitable<WriteEnd> AccountKeeper::Private::Write(
    std::map<std::string, RowWish> wishes,
    bool close) {
  DomainShard written = account;
  const std::string holder = context.ledger_holder();
  ChargeEarlierIncarnations(written, holder);
  for (const auto& [name, row] : wishes)
    MergeHolder(written.budgets[name], holder, row.counters, row.paid);
  DomainShard stored = written;
  if (close)
    CloseHolder(stored, holder);
  std::string value = ToJson(stored);
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
  account = std::move(stored);
  Grant(wishes, written);
  co_return WriteEnd::kDone;
}

void AccountKeeper::Private::Grant(const std::map<std::string, RowWish>& wishes,
                                   const DomainShard& written) {
  const std::string holder = context.ledger_holder();
  for (const auto& [name, row] : wishes) {
    const HolderCounters& now = written.budgets.at(name).holders.at(holder);
    context.ledger.With([&](HostLedger& ledger) {
      ledger.ConfirmCounters(name, now);
    });
    context.ledger.Grant(name, now.granted);
    LogEvent(kLog, Severity::kInfo, "granted",
             {{"budget", name},
              {"granted", now.granted},
              {"settled", now.settled},
              {"given_back", now.given_back},
              {"paid", row.paid},
              {"free", written.budgets.at(name).Free(row.paid)},
              {"version", version}});
  }
}

void AccountKeeper::Private::DenyWaiting(const Reason& why) {
  for (const auto& [name, wish] : std::exchange(waiting, {})) {
    std::int64_t available = 0;
    context.ledger.With([&, &budget = name](HostLedger& ledger) {
      available = ledger.Available(budget);
    });
    if (available < wish.needed) {
      context.ledger.Deny(
          name, std::max<std::int64_t>(wish.smallest - available, 0), why);
    }
  }
}

asio::awaitable<bool> AccountKeeper::Private::Sync(bool close) {
  for (int n = 0; n < kMostAccountConflicts; ++n) {
    const bool is_read = co_await Read();
    if (!is_read)
      break;
    std::map<std::string, RowWish> rows = Plan(close);
    if (rows.empty()) {
      DenyWaiting({ResultCode::kBudgetExhausted,
                   "the rest of the budget does not cover the request"});
      co_return true;
    }
    const WriteEnd end = co_await Write(std::move(rows), close);
    if (end == WriteEnd::kDone) {
      DenyWaiting({ResultCode::kBudgetExhausted,
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
  DenyWaiting({ResultCode::kBudgetUnreachable,
               "no tokens are granted to this host, and the account is out of "
               "reach: " +
                   reason.text});
  co_return false;
}

AccountKeeper::AccountKeeper(GatewayContext& context, PlatformClient& platform)
    : d_(std::make_unique<Private>(context, platform)) {}

AccountKeeper::~AccountKeeper() = default;

asio::awaitable<void> AccountKeeper::Run() {
  for (;;) {
    milliseconds pause = kAccountTick;
    if (!d_->context.draining && d_->context.config.Get()) {
      const bool ok = co_await d_->Sync(false);
      if (!ok)
        pause = kStorePause;
    }
    d_->timer.expires_after(pause);
    co_await d_->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void AccountKeeper::Wake() {
  asio::post(d_->context.control, [this] { d_->timer.cancel(); });
}

asio::awaitable<bool> AccountKeeper::Close() {
  co_return co_await d_->Sync(true);
}

int AccountKeeper::hosts() const {
  return HostsOf(d_->account);
}

}  // namespace turmericwinch
