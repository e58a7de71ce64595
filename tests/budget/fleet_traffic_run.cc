#include "fleet_traffic_run.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libs/budget/fleet_holder.h"
#include "libs/budget/fleet_lender.h"
#include "libs/budget/loan_search.h"

namespace turmericwinch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTeams = 24;
constexpr std::int64_t kPaid = 20'000'000;
constexpr std::int64_t kMaxCost = 10'000;
constexpr milliseconds kGrantWait{100};
constexpr milliseconds kRequestTime{400};
// Hosts run for some time before the first request.
constexpr seconds kTrafficStart{5};
constexpr seconds kEnd{15};
constexpr milliseconds kSyncInterval{250};
constexpr milliseconds kRetryPause{300};
constexpr milliseconds kBorrowDelay{30};
constexpr milliseconds kFirstConflictPause{4};
constexpr int kMaxConflicts = 12;
constexpr milliseconds kMessageTime{1};
constexpr milliseconds kStoreTime{4};
constexpr double kLinkBytesPerSecond = 1.25e6;
constexpr std::int64_t kBytesPerRow = 60;
constexpr std::int64_t kBytesPerHeartbeat = 100;

std::string TeamName(int n) {
  return "team-" + std::to_string(n);
}

struct WaitingRequest {
  std::string team;
  std::int64_t cost;
};

struct Host {
  Host(int n, std::string domain)
      : id("host-" + std::to_string(n) + "_1"),
        address(id + ":1"),
        domain(std::move(domain)),
        holder(id, "boot", address),
        ledger(id),
        lender(id, address),
        search(id, address) {}

  std::string id;
  std::string address;
  std::string domain;
  FleetHolder holder;
  HostLedger ledger;
  FleetLender lender;
  LoanSearch search;
  bool is_stopped = false;
  bool is_syncing = false;
  bool sync_requested = false;
  std::uint64_t version = 0;
  std::map<int, WaitingRequest> waiting;
  std::map<std::string, std::int64_t> used;
};

}  // namespace

class FleetTrafficRun::Private {
 public:
  explicit Private(const FleetTrafficOptions& options)
      : options(options), random(options.seed) {
    for (int n = 0; n < options.hosts; ++n) {
      hosts.push_back(std::make_unique<Host>(
          n, "domain-" + std::to_string(n % options.domains)));
      hosts.back()->is_stopped = n < options.stopped_hosts;
    }
  }

  void At(microseconds delay, std::function<void()> action) {
    events.emplace(now + delay, std::move(action));
  }
  MonotonicTime Time() const { return MonotonicTime(now); }
  BootTime Boot() const {
    return std::chrono::duration_cast<BootTime>(now) + BootTime(1'000'000);
  }
  microseconds TransferTime() const;
  void Tick(Host& host);
  void RequestSync(Host& host);
  void Read(Host& host, int conflicts);
  void Plan(Host& host, int conflicts);
  void Write(Host& host, int conflicts);
  void EndSync(Host& host, bool done);
  bool PlanWrite(Host& host);
  void Arrive(Host& host);
  bool Start(Host& host, const WaitingRequest& request);
  void Wake(Host& host);
  void Borrow(Host& host);
  void SendLoanRequests(Host& host);
  void ScheduleArrival(Host& host);

  FleetTrafficOptions options;
  std::mt19937_64 random;
  microseconds now{0};
  std::multimap<microseconds, std::function<void()>> events;
  std::vector<std::unique_ptr<Host>> hosts;
  FleetAccount account;
  std::uint64_t version = 1;
  int next_request = 0;
  std::map<std::string, std::int64_t> used;
  FleetTrafficResult result;
};

microseconds FleetTrafficRun::Private::TransferTime() const {
  std::int64_t bytes =
      kBytesPerHeartbeat * static_cast<std::int64_t>(account.heartbeats.size());
  for (const auto& [name, budget] : account.budgets)
    bytes += kBytesPerRow * static_cast<std::int64_t>(budget.rows.size());
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(bytes / kLinkBytesPerSecond));
}

void FleetTrafficRun::Private::Tick(Host& host) {
  At(kSyncInterval, [this, &host] { Tick(host); });
  RequestSync(host);
}

void FleetTrafficRun::Private::RequestSync(Host& host) {
  if (host.is_syncing) {
    host.sync_requested = true;
    return;
  }
  if (!PlanWrite(host))
    return;
  host.is_syncing = true;
  Read(host, 0);
}

void FleetTrafficRun::Private::Read(Host& host, int conflicts) {
  ++result.store_calls;
  At(kStoreTime + TransferTime(), [this, &host, conflicts] {
    host.holder.LoadAccount(account, Boot());
    host.version = version;
    Plan(host, conflicts);
  });
}

void FleetTrafficRun::Private::Plan(Host& host, int conflicts) {
  if (!PlanWrite(host))
    return EndSync(host, true);
  host.holder.BeginWrite(Boot());
  ++result.store_calls;
  At(kStoreTime / 2 + TransferTime(),
     [this, &host, conflicts] { Write(host, conflicts); });
}

void FleetTrafficRun::Private::Write(Host& host, int conflicts) {
  const bool done = host.version == version;
  if (done) {
    account = host.holder.planned_account();
    ++version;
  }
  const FleetAccount seen = account;
  const std::uint64_t seen_version = version;
  At(kStoreTime / 2 + TransferTime(), [=, this, &host] {
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
    const milliseconds max_pause =
        kFirstConflictPause * (1 << std::min(conflicts, 6));
    At(milliseconds(random() % (max_pause.count() + 1)),
       [this, &host, conflicts] { Plan(host, conflicts + 1); });
  });
}

void FleetTrafficRun::Private::EndSync(Host& host, bool done) {
  At(done ? microseconds(0) : kRetryPause, [this, &host] {
    host.is_syncing = false;
    if (std::exchange(host.sync_requested, false))
      RequestSync(host);
  });
  Wake(host);
  if (!host.waiting.empty())
    Borrow(host);
}

bool FleetTrafficRun::Private::PlanWrite(Host& host) {
  const std::vector<Bill> bills = host.ledger.UnconfirmedBills(10'000);
  if (!bills.empty())
    host.ledger.ConfirmBills(bills.back().sequence);
  std::map<std::string, std::int64_t> needed;
  for (const auto& [id, it] : host.waiting)
    needed[it.team] += it.cost;
  const double rate = options.request_rate * (kMaxCost / 2.0) / kTeams;
  std::map<std::string, HolderDemand> demands;
  for (int n = 0; n < kTeams; ++n) {
    const std::string team = TeamName(n);
    demands[team] = {kPaid, needed[team], now >= kTrafficStart ? rate : 0.0,
                     kMaxCost / 2.0};
  }
  return host.holder.PlanWrite(demands, host.ledger, Boot());
}

void FleetTrafficRun::Private::ScheduleArrival(Host& host) {
  std::exponential_distribution<double> pause(options.request_rate);
  At(std::chrono::duration_cast<microseconds>(
         std::chrono::duration<double>(pause(random))),
     [this, &host] {
       Arrive(host);
       ScheduleArrival(host);
     });
}

void FleetTrafficRun::Private::Arrive(Host& host) {
  ++result.requests;
  const WaitingRequest request{
      TeamName(static_cast<int>(random() % kTeams)),
      1 + static_cast<std::int64_t>(random() % kMaxCost)};
  if (Start(host, request))
    return;
  const int id = next_request++;
  host.waiting.emplace(id, request);
  At(kGrantWait,
     [this, &host, id] { result.refused += host.waiting.erase(id); });
  RequestSync(host);
  At(kBorrowDelay, [this, &host, id] {
    if (host.waiting.contains(id))
      Borrow(host);
  });
}

bool FleetTrafficRun::Private::Start(Host& host,
                                     const WaitingRequest& request) {
  const Reservation taken =
      host.ledger.Reserve(request.team, request.cost, Time());
  if (taken.outcome != ReserveOutcome::kReserved)
    return false;
  std::int64_t& total = used[request.team];
  total += request.cost;
  result.overspent = std::max(result.overspent, total - kPaid);
  At(kRequestTime, [this, &host, request, id = taken.id] {
    Bill bill;
    bill.tokens = request.cost / 2 + 1;
    used[request.team] -= request.cost - bill.tokens;
    host.ledger.Settle(id, bill, Time());
  });
  return true;
}

void FleetTrafficRun::Private::Wake(Host& host) {
  std::erase_if(host.waiting,
                [&](const auto& it) { return Start(host, it.second); });
}

void FleetTrafficRun::Private::Borrow(Host& host) {
  for (const auto& [id, it] : host.waiting) {
    const std::int64_t available =
        std::max<std::int64_t>(host.ledger.Available(it.team), 0);
    host.search.Start(
        {it.team, it.cost - available, it.cost - available},
        FindLenders(host.holder.known_account(), it.team, host.id),
        {ResultCode::kBudgetUnreachable, "no lender"}, Time());
  }
  SendLoanRequests(host);
}

void FleetTrafficRun::Private::SendLoanRequests(Host& host) {
  for (const OutgoingLoanRequest& it :
       host.search.DueRequests(host.ledger, Time())) {
    At(kMessageTime, [this, &host, it] {
      const auto other =
          std::find_if(hosts.begin(), hosts.end(), [&](const auto& candidate) {
            return candidate->address == it.address;
          });
      if (other == hosts.end() || (*other)->is_stopped)
        return;
      const LoanResponse response =
          (*other)->lender.HandleRequest(it.request, (*other)->ledger, Time());
      At(kMessageTime, [this, &host, response] {
        host.search.HandleResponse(response, host.ledger, Time());
        Wake(host);
        SendLoanRequests(host);
      });
    });
  }
  host.search.TakeFailed();
  if (const std::optional<MonotonicTime> next = host.search.NextDueTime();
      next && *next > Time())
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
    if (!host->is_stopped)
      d_->At(kTrafficStart,
             [this, &host = *host] { d_->ScheduleArrival(host); });
  }
  while (!d_->events.empty() && d_->events.begin()->first <= kEnd) {
    auto event = d_->events.extract(d_->events.begin());
    d_->now = event.key();
    event.mapped()();
  }
  return d_->result;
}

}  // namespace turmericwinch
