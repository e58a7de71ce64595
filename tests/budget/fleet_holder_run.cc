#include "fleet_holder_run.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libs/budget/fleet_holder.h"
#include "libs/budget/fleet_lender.h"

namespace turmericwinch {

namespace {

constexpr char kTeam[] = "team";
constexpr int kHosts = 4;
constexpr int kEvents = 2'500;
constexpr int kStepsPerRestore = 250;
constexpr std::int64_t kMaxCost = 600;
// Writes that a store which comes back from an old copy has lost at most.
constexpr std::size_t kMaxLostWrites = 40;
// Attempts of a host to write its account after the store came back.
constexpr int kSyncsAfterRestore = 12;
// Chance in percent that a killed host also reboots, which changes its boot id.
// A reboot strands tokens, which would hide tokens that are spent twice, so
// most runs have no reboots.
constexpr int kRebootPercent = 30;
constexpr std::uint64_t kRunsPerRunWithReboots = 4;

// A store with one versioned object. It may come back from an old copy, and
// then gives out versions again.
struct Store {
  FleetAccount account;
  std::uint64_t version = 1;
  std::uint64_t era = 1;
  std::deque<FleetAccount> past;

  bool Write(const FleetAccount& next, std::uint64_t expected) {
    if (expected != version)
      return false;
    past.push_back(std::exchange(account, next));
    if (past.size() > kMaxLostWrites)
      past.pop_front();
    ++version;
    return true;
  }

  void Restore(std::uint64_t lost_writes) {
    for (; lost_writes > 0 && !past.empty(); --lost_writes) {
      account = past.back();
      past.pop_back();
      --version;
    }
    ++era;
  }
};

// A write that reaches the store later than its sender expects.
struct DelayedWrite {
  FleetAccount account;
  std::uint64_t expected;
};

// One host with its current process.
struct FleetHost {
  explicit FleetHost(int n) : name("host-" + std::to_string(n)) {}

  void Start() {
    const std::string id = name + "_" + std::to_string(++incarnation);
    holder = std::make_unique<FleetHolder>(
        id, "boot-" + std::to_string(boot_number), "");
    ledger = std::make_unique<HostLedger>(id);
    lender = std::make_unique<FleetLender>(id, "");
    open.clear();
    known = false;
  }

  std::string name;
  int incarnation = 0;
  int boot_number = 0;
  BootTime boot_offset{0};
  std::unique_ptr<FleetHolder> holder;
  std::unique_ptr<HostLedger> ledger;
  std::unique_ptr<FleetLender> lender;
  std::vector<std::pair<std::uint64_t, std::int64_t>> open;
  bool known = false;
  std::uint64_t version = 0;
  std::uint64_t era = 0;
  bool is_disconnected = false;
};

// Hosts that serve requests, lose contact to the store, lose responses and are
// killed, in random order.
class FleetRun {
 public:
  FleetRun(std::uint64_t seed, bool has_restores)
      : random_(seed),
        has_restores_(has_restores),
        reboot_percent_(seed % kRunsPerRunWithReboots == 0 ? kRebootPercent
                                                           : 0) {
    for (int n = 0; n < kHosts; ++n) {
      hosts_.emplace_back(n);
      hosts_.back().boot_offset = BootTime(random_() % 10'000);
      hosts_.back().Start();
    }
  }

  // Returns the largest excess of the used tokens over the paid ones.
  std::int64_t Run() {
    std::int64_t excess = 0;
    for (int n = 0; n < kEvents; ++n) {
      Step();
      excess = std::max(excess, used_ - max_paid_);
    }
    return excess;
  }

  std::int64_t used() const { return used_; }

 private:
  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  BootTime Now(const FleetHost& host) const { return now_ + host.boot_offset; }

  void Step() {
    now_ += BootTime(random_() % 300);
    if (has_restores_ && random_() % kStepsPerRestore == 0)
      Restore();
    FleetHost& host = hosts_[random_() % hosts_.size()];
    const int event = static_cast<int>(random_() % 1'000);
    if (event < 520)
      Serve(host);
    else if (event < 880)
      Sync(host);
    else if (event < 930)
      host.is_disconnected = !host.is_disconnected && Chance(50);
    else if (event < 934)
      Kill(host);
    else if (event < 935)
      KillAll();
    else if (event < 970)
      DeliverDelayedWrite();
    else if (event < 975)
      Close(host);
    else if (event < 977 && paid_ == kFleetRunPaid)
      max_paid_ = paid_ = kFleetRunPaid + 20'000;
    else if (event < 990)
      now_ += BootTime(random_() % 6'000);
  }

  // A request counts as used from its start on, because a process that is
  // killed may already have caused its whole cost.
  void Serve(FleetHost& host) {
    const std::int64_t cost =
        1 + static_cast<std::int64_t>(random_() % kMaxCost);
    const Reservation taken = host.ledger->Reserve(kTeam, cost, {});
    if (taken.outcome == ReserveOutcome::kReserved) {
      used_ += cost;
      host.open.emplace_back(taken.id, cost);
    } else {
      host.ledger->AddGrantRequest(kTeam, cost);
      Borrow(host, cost);
    }
    if (host.open.size() < 4)
      return;
    const auto [id, whole] = host.open.front();
    host.open.erase(host.open.begin());
    if (Chance(10)) {
      used_ -= whole;
      host.ledger->Release(id);
      return;
    }
    Bill bill;
    bill.tokens = whole / 2 + 1;
    used_ -= whole - bill.tokens;
    host.ledger->Settle(id, bill, {});
  }

  // Requests a loan of `cost` from another host, which needs no contact to the
  // store. Requests are repeated, responses are lost, and some requests carry
  // outdated totals.
  void Borrow(FleetHost& host, std::int64_t cost) {
    FleetHost& other = hosts_[random_() % hosts_.size()];
    if (&other == &host)
      return;
    const std::string lender = other.ledger->holder();
    const LoanTotals known = host.ledger->LoanOf(lender, kTeam);
    if (Chance(10))
      host.ledger->ReturnLoans(lender);
    const int requests = Chance(20) ? 2 : 1;
    for (int n = 0; n < requests; ++n) {
      LoanRequest request{
          host.ledger->holder(), Chance(50) ? lender : "", "", {}};
      request.items.push_back(
          {kTeam, cost, cost, 0,
           Chance(80) ? host.ledger->LoanOf(lender, kTeam) : known});
      const LoanResponse response =
          other.lender->HandleRequest(request, *other.ledger, {});
      for (const LoanGrant& it : response.grants) {
        if (Chance(80))
          host.ledger->ApplyLoan(response.lender, it.budget, it.lent);
      }
    }
  }

  void Read(FleetHost& host) {
    host.holder->LoadAccount(store_.account, Now(host), store_.era);
    host.version = store_.version;
    host.era = store_.era;
    host.known = true;
  }

  // Whether a host that reaches the store knows all that it has acknowledged.
  bool IsNewestKnown() const {
    return std::any_of(hosts_.begin(), hosts_.end(), [this](const auto& it) {
      return it.known && !it.is_disconnected && it.era == store_.era &&
             it.version == store_.version;
    });
  }

  // The hosts that reach the store notice its return within a moment.
  void Restore() {
    if (!IsNewestKnown())
      return;
    store_.Restore(random_() % kMaxLostWrites);
    for (int n = 0; n < kSyncsAfterRestore; ++n) {
      for (FleetHost& it : hosts_) {
        it.known = false;
        if (!it.is_disconnected)
          Sync(it);
      }
    }
  }

  void Sync(FleetHost& host) {
    if (host.is_disconnected) {
      host.known = false;
      for (const auto& [name, total] :
           host.holder->OpenAll(*host.ledger, Now(host)))
        host.ledger->ApplyGrant(name, total);
      return;
    }
    if (!host.known || Chance(50))
      Read(host);
    const std::vector<Bill> bills = host.ledger->UnconfirmedBills(1'000);
    if (!bills.empty())
      host.ledger->ConfirmBills(bills.back().sequence);
    std::vector<std::int64_t> waiting;
    for (const GrantRequest& it : host.ledger->TakeGrantRequests())
      waiting.insert(waiting.end(), it.sizes.begin(), it.sizes.end());
    const std::map<std::string, HolderDemand> demands = {
        {kTeam, {paid_, waiting, 100.0 + random_() % 400, 200}}};
    if (!host.holder->PlanWrite(demands, *host.ledger, Now(host)))
      return;
    host.holder->BeginWrite(Now(host));
    Send(host);
  }

  // The write succeeds, fails on a conflict, loses its answer, or is delayed.
  void Send(FleetHost& host) {
    const int outcome = static_cast<int>(random_() % 100);
    if (outcome < 15) {
      delayed_writes_.push_back({host.holder->planned_account(), host.version});
      host.known = false;
      return;
    }
    const bool done =
        store_.Write(host.holder->planned_account(), host.version);
    if (!done || outcome < 30) {
      host.known = false;
      return;
    }
    ++host.version;
    for (const auto& [name, total] : host.holder->ConfirmWrite())
      host.ledger->ApplyGrant(name, total);
  }

  void DeliverDelayedWrite() {
    if (delayed_writes_.empty())
      return;
    const DelayedWrite write = delayed_writes_.front();
    delayed_writes_.pop_front();
    store_.Write(write.account, write.expected);
  }

  void Kill(FleetHost& host) {
    if (Chance(reboot_percent_)) {
      ++host.boot_number;
      host.boot_offset = BootTime(random_() % 10'000);
    }
    host.is_disconnected = host.is_disconnected && Chance(50);
    host.Start();
  }

  void KillAll() {
    for (FleetHost& it : hosts_)
      Kill(it);
  }

  void Close(FleetHost& host) {
    if (host.is_disconnected)
      return;
    host.ledger->Fence();
    Read(host);
    if (host.holder->PlanClose(*host.ledger)) {
      host.holder->BeginWrite(Now(host));
      Send(host);
    }
    host.Start();
  }

  std::mt19937_64 random_;
  bool has_restores_;
  int reboot_percent_;
  Store store_;
  std::deque<DelayedWrite> delayed_writes_;
  std::vector<FleetHost> hosts_;
  BootTime now_{1'000'000};
  std::int64_t paid_ = kFleetRunPaid;
  std::int64_t max_paid_ = kFleetRunPaid;
  std::int64_t used_ = 0;
};

}  // namespace

FleetHolderResult RunFleetHolders(std::uint64_t seed, bool has_restores) {
  FleetRun run(seed, has_restores);
  const std::int64_t excess = run.Run();
  return {run.used(), excess};
}

}  // namespace turmericwinch
