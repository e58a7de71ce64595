#include "fleet_traffic_run.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet_traffic_host.h"
#include "libs/budget/ranked_hosts.h"

namespace turmericwinch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTeams = 24;
constexpr std::int64_t kMaxCost = 10'000;
constexpr milliseconds kGrantWait{100};
constexpr milliseconds kRequestTime{400};
// Hosts run for some time before the first request.
constexpr seconds kTrafficStart{5};
constexpr seconds kEnd{15};
constexpr seconds kOutageStart{8};
constexpr seconds kTimeAfterOutage{6};
// Time after an outage from which on requests should find tokens.
constexpr seconds kRecoveryTime{1};
// Time after which a call that the store does not answer has failed.
constexpr seconds kCallTimeout{1};
constexpr milliseconds kSyncInterval{250};
constexpr milliseconds kRetryPause{300};
constexpr milliseconds kMaxRefreshPause{8'000};
constexpr milliseconds kBorrowDelay{30};
constexpr int kMaxConflicts = 12;
constexpr milliseconds kMessageTime{1};
constexpr milliseconds kStoreTime{4};
constexpr std::int64_t kLinkMbps = 10;
constexpr std::int64_t kStrongLinkMbps = 200;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::int64_t kBytesPerRow = 60;
constexpr std::int64_t kBytesPerHeartbeat = 100;

std::string TeamName(int n) {
  return "team-" + std::to_string(n);
}

}  // namespace

class FleetTrafficRun::Private {
 public:
  explicit Private(const FleetTrafficOptions& options)
      : options(options), random(options.seed) {
    for (int n = 0; n < options.hosts; ++n) {
      hosts.push_back(std::make_unique<FleetTrafficHost>(
          n, "domain-" + std::to_string(n % options.domains),
          n < options.strong_hosts ? kStrongLinkMbps : kLinkMbps));
    }
  }

  void At(microseconds delay, std::function<void()> action) {
    events.emplace(now + delay, std::move(action));
  }
  MonotonicTime Time() const { return MonotonicTime(now); }
  BootTime Boot() const {
    return std::chrono::duration_cast<BootTime>(now) + BootTime(1'000'000);
  }
  bool IsStoreAway() const {
    return now >= kOutageStart && now < kOutageStart + options.outage;
  }
  microseconds End() const {
    return options.outage.count() == 0
               ? microseconds(kEnd)
               : kOutageStart + options.outage + kTimeAfterOutage;
  }
  microseconds TransferTime(const FleetTrafficHost& host) const;
  // Ends a sync whose call the store does not answer.
  void FailCall(FleetTrafficHost& host);
  // Asks another host to list `host` in the account. Returns whether one was
  // asked.
  bool RequestIntroduction(FleetTrafficHost& host);
  void OpenAll(FleetTrafficHost& host);
  void Tick(FleetTrafficHost& host);
  void RequestSync(FleetTrafficHost& host);
  void Read(FleetTrafficHost& host, int conflicts);
  void Plan(FleetTrafficHost& host, int conflicts);
  void Write(FleetTrafficHost& host, int conflicts);
  void EndSync(FleetTrafficHost& host, bool done);
  bool PlanWrite(FleetTrafficHost& host);
  void Arrive(FleetTrafficHost& host);
  bool Start(FleetTrafficHost& host, const WaitingRequest& request);
  void Wake(FleetTrafficHost& host);
  bool MustDraw(const FleetTrafficHost& host,
                const WaitingRequest& request) const;
  void BorrowInDomain(FleetTrafficHost& host);
  void BorrowInFleet(FleetTrafficHost& host);
  void StartSearch(FleetTrafficHost& host,
                   const WaitingRequest& request,
                   LoanScope scope,
                   std::vector<LenderEndpoint> lenders);
  void SendLoanRequests(FleetTrafficHost& host);
  FleetTrafficHost* FindHost(const std::string& address);
  void HandleLoanRequest(FleetTrafficHost& lender, const LoanRequest& request);
  void SendLoanResponse(const LoanRequest& request,
                        const LoanResponse& response);
  void ScheduleArrival(FleetTrafficHost& host);

  FleetTrafficOptions options;
  std::mt19937_64 random;
  microseconds now{0};
  std::multimap<microseconds, std::function<void()>> events;
  std::vector<std::unique_ptr<FleetTrafficHost>> hosts;
  FleetAccount account;
  std::uint64_t version = 1;
  int next_request = 0;
  std::map<std::string, std::int64_t> used;
  FleetTrafficResult result;
};

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
  At(kMessageTime, [this, address, id = host.id,
                    heartbeat = host.holder.OwnHeartbeat(Boot())] {
    if (FleetTrafficHost* introducer = FindHost(address)) {
      introducer->holder.Introduce(id, heartbeat);
      RequestSync(*introducer);
    }
  });
  return true;
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
    if (conflicts + 1 >= kMaxRegistrationConflicts && RequestIntroduction(host))
      return EndSync(host, true);
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
  std::map<std::string, std::int64_t> needed;
  for (const auto& [id, it] : host.waiting)
    needed[it.team] += MustDraw(host, it) ? it.cost : 0;
  for (const LoanRequest& it : host.deferred)
    needed[it.items.front().budget] += it.items.front().needed;
  std::map<std::string, HolderDemand> demands;
  for (int n = 0; n < kTeams; ++n) {
    const std::string team = TeamName(n);
    const HolderCounters counters = host.ledger.Counters(team);
    const std::int64_t total =
        counters.granted - counters.given_back - host.ledger.Available(team);
    FleetTrafficDemand& demand = host.demands[team];
    demand.rate.AddTokens(total - std::exchange(demand.used, total), Time());
    demands[team] = {options.paid, needed[team], demand.rate.Value(),
                     kMaxCost / 2.0, host.lent_teams.contains(team)};
  }
  const bool is_due = host.holder.PlanWrite(demands, host.ledger, Boot());
  const bool waits_for_introduction =
      now < host.introduced_until && host.holder.MayBeIntroduced();
  return is_due && !waits_for_introduction;
}

void FleetTrafficRun::Private::ScheduleArrival(FleetTrafficHost& host) {
  std::exponential_distribution<double> pause(options.request_rate);
  At(std::chrono::duration_cast<microseconds>(
         std::chrono::duration<double>(pause(random))),
     [this, &host] {
       Arrive(host);
       ScheduleArrival(host);
     });
}

void FleetTrafficRun::Private::Arrive(FleetTrafficHost& host) {
  ++result.requests;
  const bool is_after = options.outage.count() > 0 &&
                        now >= kOutageStart + options.outage + kRecoveryTime;
  result.requests_after_outage += is_after ? 1 : 0;
  const WaitingRequest request{
      TeamName(static_cast<int>(random() % kTeams)),
      1 + static_cast<std::int64_t>(random() % kMaxCost)};
  if (Start(host, request))
    return;
  const int id = next_request++;
  host.waiting.emplace(id, request);
  At(kGrantWait, [this, &host, id, is_after] {
    const int refused = static_cast<int>(host.waiting.erase(id));
    result.refused += refused;
    result.refused_after_outage += is_after ? refused : 0;
  });
  if (MustDraw(host, request))
    RequestSync(host);
  else
    BorrowInDomain(host);
  At(kBorrowDelay, [this, &host, id] {
    if (host.waiting.contains(id))
      BorrowInFleet(host);
  });
}

bool FleetTrafficRun::Private::Start(FleetTrafficHost& host,
                                     const WaitingRequest& request) {
  const Reservation taken =
      host.ledger.Reserve(request.team, request.cost, Time());
  if (taken.outcome != ReserveOutcome::kReserved)
    return false;
  std::int64_t& total = used[request.team];
  total += request.cost;
  result.overspent = std::max(result.overspent, total - options.paid);
  At(kRequestTime, [this, &host, request, id = taken.id] {
    Bill bill;
    bill.tokens = request.cost / 2 + 1;
    used[request.team] -= request.cost - bill.tokens;
    host.ledger.Settle(id, bill, Time());
  });
  return true;
}

void FleetTrafficRun::Private::Wake(FleetTrafficHost& host) {
  std::erase_if(host.waiting,
                [&](const auto& it) { return Start(host, it.second); });
}

bool FleetTrafficRun::Private::MustDraw(const FleetTrafficHost& host,
                                        const WaitingRequest& request) const {
  return request.draws_directly ||
         host.holder.stock_hosts().LendersFor(request.team).empty();
}

void FleetTrafficRun::Private::BorrowInDomain(FleetTrafficHost& host) {
  for (const auto& [id, it] : host.waiting) {
    if (!MustDraw(host, it))
      StartSearch(host, it, LoanScope::kDomain,
                  host.holder.stock_hosts().LendersFor(it.team));
  }
  SendLoanRequests(host);
}

void FleetTrafficRun::Private::BorrowInFleet(FleetTrafficHost& host) {
  for (const auto& [id, it] : host.waiting) {
    if (MustDraw(host, it))
      StartSearch(host, it, LoanScope::kFleet,
                  FindLenders(host.holder.known_account(), it.team, host.id));
  }
  SendLoanRequests(host);
}

void FleetTrafficRun::Private::StartSearch(
    FleetTrafficHost& host,
    const WaitingRequest& request,
    LoanScope scope,
    std::vector<LenderEndpoint> lenders) {
  const std::int64_t available =
      std::max<std::int64_t>(host.ledger.Available(request.team), 0);
  const std::int64_t missing = request.cost - available;
  host.search.Start({request.team, missing, missing}, scope, std::move(lenders),
                    {ResultCode::kBudgetUnreachable, "no lender"}, Time());
}

FleetTrafficHost* FleetTrafficRun::Private::FindHost(
    const std::string& address) {
  for (const auto& it : hosts) {
    if (it->address == address)
      return it->is_stopped ? nullptr : it.get();
  }
  return nullptr;
}

void FleetTrafficRun::Private::HandleLoanRequest(FleetTrafficHost& lender,
                                                 const LoanRequest& request) {
  LoanResponse response =
      lender.lender.HandleRequest(request, lender.ledger, Time());
  for (LoanGrant& it : response.grants) {
    if (it.outcome != LoanOutcome::kShort || !lender.is_reachable)
      continue;
    it.outcome = LoanOutcome::kDrawing;
    lender.lent_teams.insert(it.budget);
    lender.deferred.push_back(request);
    RequestSync(lender);
  }
  SendLoanResponse(request, response);
}

void FleetTrafficRun::Private::SendLoanResponse(const LoanRequest& request,
                                                const LoanResponse& response) {
  At(kMessageTime, [this, request, response] {
    FleetTrafficHost* borrower = FindHost(request.reply_to);
    if (!borrower)
      return;
    borrower->search.HandleResponse(response, borrower->ledger, Time());
    Wake(*borrower);
    SendLoanRequests(*borrower);
  });
}

void FleetTrafficRun::Private::SendLoanRequests(FleetTrafficHost& host) {
  for (const OutgoingLoanRequest& it :
       host.search.DueRequests(host.ledger, Time())) {
    At(kMessageTime, [this, it] {
      if (FleetTrafficHost* lender = FindHost(it.address))
        HandleLoanRequest(*lender, it.request);
    });
  }
  for (const FailedLoanSearch& failed : host.search.TakeFailed()) {
    if (failed.scope == LoanScope::kFleet)
      continue;
    if (!host.writes.MayDrawDirectly(Time())) {
      host.search.Start(failed.request, LoanScope::kFleet,
                        FindLenders(host.holder.known_account(),
                                    failed.request.budget, host.id),
                        failed.reason, Time());
      continue;
    }
    for (auto& [id, it] : host.waiting)
      it.draws_directly |= it.team == failed.request.budget;
    RequestSync(host);
  }
  const std::optional<MonotonicTime> next = host.search.NextDueTime();
  if (next && *next > Time())
    At(std::chrono::duration_cast<microseconds>(*next - Time()),
       [this, &host] { SendLoanRequests(host); });
}

FleetTrafficRun::FleetTrafficRun(const FleetTrafficOptions& options)
    : d_(std::make_unique<Private>(options)) {}

FleetTrafficRun::~FleetTrafficRun() = default;

FleetTrafficResult FleetTrafficRun::Run() {
  for (const auto& host : d_->hosts) {
    d_->At(microseconds(d_->random() % 300'000),
           [this, &host = *host] { d_->Tick(host); });
  }
  d_->At(kTrafficStart, [this] {
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
