// How the hosts of FleetTrafficRun read and write the account.

#include "fleet_traffic_run.h"

#include <algorithm>

#include "fleet_traffic_run_private.h"
#include "libs/budget/ranked_hosts.h"

namespace turmericwinch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Hosts run for some time before the first request.
constexpr seconds kTrafficStart{5};
constexpr seconds kStartAfterPowerLoss{1};
// Time after which a call that the store does not answer has failed.
constexpr seconds kCallTimeout{1};
constexpr milliseconds kSyncInterval{250};
constexpr milliseconds kRetryPause{300};
constexpr milliseconds kMaxRefreshPause{8'000};
constexpr int kMaxConflicts = 12;
constexpr milliseconds kStoreTime{4};
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::int64_t kBytesPerRow = 60;
constexpr std::int64_t kBytesPerHeartbeat = 100;

}  // namespace

microseconds FleetTrafficRun::Private::TransferTime(
    const FleetTrafficHost& host) const {
  std::int64_t bytes =
      kBytesPerHeartbeat * static_cast<std::int64_t>(account.heartbeats.size());
  for (const auto& [name, budget] : account.budgets)
    bytes += kBytesPerRow * static_cast<std::int64_t>(budget.rows.size());
  return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(
      static_cast<double>(bytes) /
      (static_cast<double>(host.link_mbps) * kBytesPerMegabit)));
}

void FleetTrafficRun::Private::Tick(FleetTrafficHost& host) {
  if (host.is_stopped)
    return;
  At(kSyncInterval, [this, &host] { Tick(host); });
  if (!host.is_reachable)
    OpenAll(host);
  RequestSync(host);
}

void FleetTrafficRun::Private::RequestSync(FleetTrafficHost& host) {
  if (host.is_syncing) {
    host.sync_requested = true;
    return;
  }
  const bool refreshes = now >= host.next_refresh;
  if (!PlanWrite(host) && !refreshes)
    return;
  if (refreshes) {
    host.next_refresh = now + host.refresh_pause;
    host.refresh_pause = std::min(host.refresh_pause * 2, kMaxRefreshPause);
  }
  host.is_syncing = true;
  Read(host, 0);
}

void FleetTrafficRun::Private::FailCall(FleetTrafficHost& host) {
  At(kCallTimeout, [this, &host] {
    host.is_reachable = false;
    EndSync(host, false);
  });
}

bool FleetTrafficRun::Private::RequestIntroduction(FleetTrafficHost& host) {
  const std::string address =
      FindIntroducer(host.holder.known_account(), host.id, host.domain);
  if (!host.holder.MayBeIntroduced() || address.empty())
    return false;
  host.introduced_until = now + kIntroductionTime;
  host.has_asked = true;
  At(kMessageTime,
     [this, address, id = host.id, ended = host.holder.earlier_incarnations(),
      heartbeat = host.holder.OwnHeartbeat(Boot())] {
       if (FleetTrafficHost* introducer = FindHost(address)) {
         introducer->holder.Introduce(id, heartbeat, ended);
         RequestSync(*introducer);
       }
     });
  return true;
}

void FleetTrafficRun::Private::AddEarlierIncarnations() {
  for (const auto& host : hosts) {
    const std::string earlier = std::string(HostOfHolder(host->id)) + "_0";
    account.heartbeats[earlier] = {"earlier boot", BootTime(1), host->address,
                                   host->domain, host->link_mbps};
    for (int n = 0; n < kTeams; ++n)
      account.budgets[TeamName(n)].rows[earlier] = {kMaxCost, 0, kMaxCost / 2};
  }
}

void FleetTrafficRun::Private::OpenAll(FleetTrafficHost& host) {
  for (const auto& [name, total] : host.holder.OpenAll(host.ledger, Boot()))
    host.ledger.ApplyGrant(name, total);
  Wake(host);
}

void FleetTrafficRun::Private::Read(FleetTrafficHost& host, int conflicts) {
  ++result.store_calls;
  if (IsStoreAway())
    return FailCall(host);
  At(kStoreTime + TransferTime(host), [this, &host, conflicts] {
    host.is_reachable = true;
    host.holder.LoadAccount(account, Boot());
    host.writes.SetFleet(static_cast<std::size_t>(account.HostCount()),
                         host.holder.stock_hosts().KeepsStock() ||
                             host.holder.has_introductions());
    host.version = version;
    Plan(host, conflicts);
  });
}

void FleetTrafficRun::Private::Plan(FleetTrafficHost& host, int conflicts) {
  if (!PlanWrite(host))
    return EndSync(host, true);
  if (host.writes.ShouldBeIntroduced(conflicts, host.has_asked) &&
      RequestIntroduction(host))
    return EndSync(host, true);
  host.holder.BeginWrite(Boot());
  ++result.store_calls;
  if (IsStoreAway())
    return FailCall(host);
  At(kStoreTime / 2 + TransferTime(host),
     [this, &host, conflicts] { Write(host, conflicts); });
}

void FleetTrafficRun::Private::Write(FleetTrafficHost& host, int conflicts) {
  const bool done = host.version == version;
  if (done) {
    account = host.holder.planned_account();
    ++version;
  }
  const FleetAccount seen = account;
  const std::uint64_t seen_version = version;
  At(kStoreTime / 2 + TransferTime(host), [=, this, &host] {
    host.version = seen_version;
    if (done) {
      for (const auto& [name, total] : host.holder.ConfirmWrite())
        host.ledger.ApplyGrant(name, total);
      return EndSync(host, true);
    }
    ++result.conflicts;
    host.holder.LoadAccount(seen, Boot());
    if (conflicts + 1 >= kMaxConflicts)
      return EndSync(host, false);
    const milliseconds max_pause = host.writes.MaxConflictPause(conflicts);
    At(milliseconds(random() % (max_pause.count() + 1)),
       [this, &host, conflicts] { Plan(host, conflicts + 1); });
  });
}

void FleetTrafficRun::Private::EndSync(FleetTrafficHost& host, bool done) {
  At(done ? microseconds(0) : kRetryPause, [this, &host] {
    host.is_syncing = false;
    if (std::exchange(host.sync_requested, false))
      RequestSync(host);
  });
  Wake(host);
  BorrowInFleet(host);
  for (const LoanRequest& it : std::exchange(host.deferred, {}))
    SendLoanResponse(it, host.lender.HandleRequest(it, host.ledger, Time()));
}

bool FleetTrafficRun::Private::PlanWrite(FleetTrafficHost& host) {
  const std::vector<Bill> bills = host.ledger.UnconfirmedBills(10'000);
  if (!bills.empty())
    host.ledger.ConfirmBills(bills.back().sequence);
  std::map<std::string, std::vector<std::int64_t>> waiting;
  for (const auto& [id, it] : host.waiting) {
    if (MustDraw(host, it))
      waiting[it.team].push_back(it.cost);
  }
  for (const LoanRequest& it : host.deferred) {
    const LoanRequestItem& item = it.items.front();
    waiting[item.budget].push_back(item.smallest);
    if (item.needed > item.smallest)
      waiting[item.budget].push_back(item.needed - item.smallest);
  }
  std::map<std::string, HolderDemand> demands;
  for (int n = 0; n < kTeams; ++n) {
    const std::string team = TeamName(n);
    const HolderCounters counters = host.ledger.Counters(team);
    const std::int64_t total =
        counters.granted - counters.given_back - host.ledger.Available(team);
    FleetTrafficDemand& demand = host.demands[team];
    demand.rate.AddTokens(total - std::exchange(demand.used, total), Time());
    demands[team] = {options.paid, waiting[team], demand.rate.Value(),
                     kMaxCost / 2.0, host.lent_teams.contains(team)};
  }
  const bool is_due = host.holder.PlanWrite(demands, host.ledger, Boot());
  const bool waits_for_introduction =
      now < host.introduced_until && host.holder.MayBeIntroduced();
  return is_due && !waits_for_introduction;
}

FleetTrafficRun::FleetTrafficRun(const FleetTrafficOptions& options)
    : d_(std::make_unique<Private>(options)) {}

FleetTrafficRun::~FleetTrafficRun() = default;

FleetTrafficResult FleetTrafficRun::Run() {
  for (const auto& host : d_->hosts) {
    d_->At(microseconds(d_->random() % 300'000),
           [this, &host = *host] { d_->Tick(host); });
  }
  if (d_->options.after_power_loss)
    d_->AddEarlierIncarnations();
  d_->At(d_->options.after_power_loss ? kStartAfterPowerLoss : kTrafficStart,
         [this] {
           d_->result.registered_at_start = d_->account.HostCount();
           d_->result.calls_at_start = d_->result.store_calls;
           int stopped = 0;
           for (const auto& host : d_->hosts) {
             host->is_stopped = stopped++ < d_->options.stopped_hosts;
             if (!host->is_stopped)
               d_->ScheduleArrival(*host);
           }
         });
  while (!d_->events.empty() && d_->events.begin()->first <= d_->End()) {
    auto event = d_->events.extract(d_->events.begin());
    d_->now = event.key();
    event.mapped()();
  }
  return d_->result;
}

}  // namespace turmericwinch
