#include "apps/measure_budget/budget_run.h"

#include <algorithm>
#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/budget/budget_account.h"

namespace turmericwinch {

namespace {

constexpr double kTopUpShare = 0.25;

using Sizes = std::vector<std::int64_t>;

Sizes PaidSizes(const Trace& trace, const ScenarioPlan& plan) {
  Sizes paid;
  for (std::size_t n = 0; n < trace.names().size(); ++n)
    paid.push_back(plan.PaidFor(trace.DemandOf(n)));
  return paid;
}

Sizes InitialSpentSizes(const Trace& trace,
                        const ScenarioPlan& plan,
                        std::size_t domains) {
  Sizes initial_spent;
  for (std::size_t n = 0; n < trace.names().size(); ++n)
    initial_spent.push_back(plan.InitialSpentFor(trace.DemandOf(n), domains));
  return initial_spent;
}

Sizes RemainingSizes(const Sizes& paid, const Sizes& initial_spent) {
  Sizes left;
  for (std::size_t n = 0; n < paid.size(); ++n)
    left.push_back(paid[n] - initial_spent[n]);
  return left;
}

}  // namespace

BudgetRun::BudgetRun(Policy policy,
                     const ScenarioPlan& plan,
                     const FleetSize& size)
    : policy_(policy),
      plan_(plan),
      size_(size),
      trace_(size),
      initial_paid_(PaidSizes(trace_, plan)),
      initial_spent_(InitialSpentSizes(trace_, plan, size.domains)),
      seen_by_partitioned_(RemainingSizes(initial_paid_, initial_spent_)),
      reference_(seen_by_partitioned_),
      perfect_(seen_by_partitioned_),
      platform_(queue_, size),
      peers_(queue_, size),
      random_(size.seed + 2),
      slots_(size.hosts) {
  for (std::size_t n = 0; n < trace_.names().size(); ++n)
    budget_index_[trace_.names()[n]] = n;
  peers_.on_message = [this](std::size_t host, const PeerMessage& message) {
    // Keeps the host alive during the call.
    const std::shared_ptr<HostModel> it = slots_[host].host;
    it->HandleMessage(message);
  };
}

// The policies that draw grants read top-ups from the account object, the
// others from the configuration.
std::optional<BudgetSetting> BudgetRun::SettingOf(
    std::size_t host,
    const std::string& name) const {
  const std::size_t n = budget_index_.at(name);
  std::int64_t tokens = initial_paid_[n];
  if (policy_ == Policy::kChecked || policy_ == Policy::kSplit) {
    tokens = platform_.IsPartitioned(size_.DomainOf(host))
                 ? seen_by_partitioned_[n]
                 : reference_.budgets()[n].paid;
  }
  return BudgetSetting{tokens, 1, BudgetSetting().reserve_percent};
}

void BudgetRun::StartHost(std::size_t n) {
  Slot& slot = slots_[n];
  slot.holder =
      "h" + std::to_string(n) + "_" + std::to_string(slot.incarnation);
  HostParts parts;
  parts.queue = &queue_;
  parts.platform = &platform_;
  parts.peers = &peers_;
  parts.size = size_;
  parts.host = n;
  parts.holder = slot.holder;
  parts.names = &trace_.names();
  parts.setting_of = [this, n](const std::string& name) {
    return SettingOf(n, name);
  };
  slot.host =
      MakeHost(policy_, std::move(parts), slot.incarnation > 0, reference_);
  const double phase =
      (static_cast<double>(n) + 1) / static_cast<double>(size_.hosts);
  ScheduleFlush(n, size_.flush_seconds * phase);
}

void BudgetRun::ScheduleFlush(std::size_t n, double seconds) {
  queue_.After(
      Seconds(seconds), [this, n, incarnation = slots_[n].incarnation] {
        if (has_ended_ || slots_[n].incarnation != incarnation)
          return;
        slots_[n].host->Flush(
            false, [this, n] { ScheduleFlush(n, size_.flush_seconds); });
      });
}

void BudgetRun::ScheduleRequest() {
  const TraceRequest request = trace_.NextRequest();
  if (request.arrival > plan_.warm_seconds + plan_.counted_seconds)
    return;
  queue_.After(Seconds(request.arrival - queue_.seconds()), [this, request] {
    ScheduleRequest();
    OnArrival(request);
  });
}

bool BudgetRun::DecidePerfectly(const TraceRequest& request, bool* at_end) {
  const std::size_t budget = request.budget;
  if (!perfect_.HasRoom(budget, request.bound))
    return false;
  *at_end = perfect_.budgets()[budget].IsAtEnd();
  perfect_.Accept(budget, request.bound);
  queue_.After(Seconds(static_cast<double>(request.used) * kSecondsPerToken),
               [this, request] {
                 perfect_.Settle(request.budget, request.bound, request.used);
               });
  if (is_counting_) {
    ++results_.all.acceptable;
    results_.at_end.acceptable += *at_end ? 1 : 0;
  }
  return true;
}

void BudgetRun::OnRefused(const TraceRequest& request,
                          bool acceptable,
                          bool at_end) {
  reference_.Refuse(request.budget);
  if (!acceptable)
    return;
  ++results_.all.refused;
  results_.at_end.refused += at_end ? 1 : 0;
}

void BudgetRun::OnArrival(const TraceRequest& request) {
  bool at_end = false;
  const bool acceptable = DecidePerfectly(request, &at_end) && is_counting_;
  // Keeps the host alive during the call, in which it may be terminated.
  const std::shared_ptr<HostModel> host = slots_[request.host].host;
  host->Request(request, [this, request, acceptable, at_end](bool reserved) {
    if (reserved)
      OnAccepted(request);
    else
      OnRefused(request, acceptable, at_end);
  });
}

void BudgetRun::OnAccepted(const TraceRequest& request) {
  reference_.Accept(request.budget, request.bound);
  Slot& slot = slots_[request.host];
  slot.open[request.id] = request;
  queue_.After(Seconds(static_cast<double>(request.used) * kSecondsPerToken),
               [this, request, incarnation = slot.incarnation] {
                 FinishRequest(request, incarnation);
               });
}

void BudgetRun::FinishRequest(const TraceRequest& request, int incarnation) {
  Slot& slot = slots_[request.host];
  if (slot.incarnation != incarnation)
    return;
  slot.open.erase(request.id);
  slot.host->Settle(request);
  reference_.Settle(request.budget, request.bound, request.used);
}

void BudgetRun::CrashHost(std::size_t n) {
  Slot& slot = slots_[n];
  slot.host->Terminate();
  ++results_.crashes;
  for (const auto& [name, tokens] : slot.host->Held())
    results_.stranded += tokens;
  for (const auto& [name, tokens] : slot.host->Unbilled())
    unconfirmed_[name] += tokens;
  for (const auto& [id, it] : slot.open)
    reference_.Release(it.budget, it.bound);
  slot.open.clear();
  ++slot.incarnation;
  StartHost(n);
}

void BudgetRun::TopUpAll() {
  const std::string id = "top-up-" + std::to_string(top_ups_++);
  std::map<std::uint64_t, std::vector<std::size_t>> buckets;
  for (std::size_t n = 0; n < initial_paid_.size(); ++n)
    buckets[BucketOf(trace_.names()[n])].push_back(n);
  for (const auto& [number, budgets] : buckets) {
    const std::string name = AccountObjectName(number);
    FakePlatform& store = platform_.store();
    Reason reason;
    auto it = store.objects.find(name);
    const bool exists = it != store.objects.end();
    AccountBucket bucket;
    if (exists)
      bucket = ParseAccountBucket(it->second.value, &reason).value();
    for (std::size_t n : budgets) {
      const auto tokens = static_cast<std::int64_t>(
          kTopUpShare * static_cast<double>(initial_paid_[n]));
      reference_.TopUp(n, tokens);
      perfect_.TopUp(n, tokens);
      TopUp(bucket.budgets[trace_.names()[n]], tokens, id);
    }
    const PlatformCall call{
        exists ? PlatformVerb::kUpdate : PlatformVerb::kCreate,
        name,
        exists ? it->second.version : StoreVersion(),
        ToJson(bucket),
        {}};
    store.write_faults.push_front(PlatformFault::kNone);
    store.Call(call);
  }
}

void BudgetRun::WriteInitialSpend() {
  std::map<std::uint64_t, AccountBucket> accounts;
  std::map<std::uint64_t, DomainShard> shards;
  for (std::size_t n = 0; n < initial_spent_.size(); ++n) {
    const std::string& name = trace_.names()[n];
    const std::int64_t part =
        initial_spent_[n] / static_cast<std::int64_t>(size_.domains);
    BudgetAccount& account = accounts[BucketOf(name)].budgets[name];
    SetDeclared(account, initial_paid_[n], 1);
    for (std::size_t domain = 0; domain < size_.domains; ++domain)
      account.domains["d" + std::to_string(domain)].allocated = part;
    shards[BucketOf(name)].budgets[name].settled_retired = part;
  }
  FakePlatform& store = platform_.store();
  const auto create = [&store](const std::string& name, std::string value) {
    store.write_faults.push_front(PlatformFault::kNone);
    store.Call({PlatformVerb::kCreate, name, {}, std::move(value), {}});
  };
  for (const auto& [number, account] : accounts) {
    create(AccountObjectName(number), ToJson(account));
    for (std::size_t domain = 0; domain < size_.domains; ++domain) {
      create(ShardObjectName("d" + std::to_string(domain), number),
             ToJson(shards[number]));
    }
  }
}

void BudgetRun::SchedulePartition() {
  queue_.After(Seconds(plan_.warm_seconds),
               [this] { platform_.SetPartitioned(0, true); });
  for (double share : {1.0 / 3, 2.0 / 3}) {
    queue_.After(Seconds(plan_.warm_seconds + share * plan_.counted_seconds),
                 [this] { TopUpAll(); });
  }
}

void BudgetRun::ScheduleFaults() {
  FakePlatform& store = platform_.store();
  if (plan_.scenario == Scenario::kOutage) {
    queue_.After(Seconds(plan_.warm_seconds), [&store] { store.down = true; });
  } else if (plan_.scenario == Scenario::kPartition) {
    SchedulePartition();
  } else if (plan_.scenario == Scenario::kDeaths) {
    for (int n = 0; n < kHostCrashes; ++n) {
      const double at =
          plan_.warm_seconds + plan_.counted_seconds * (n + 0.5) / kHostCrashes;
      const std::size_t host = random_() % size_.hosts;
      queue_.After(Seconds(at), [this, host] { CrashHost(host); });
    }
  }
}

std::uint64_t BudgetRun::BytesOf(std::size_t host) const {
  return platform_.host_bytes()[host] + peers_.host_bytes()[host];
}

void BudgetRun::RunFor(double seconds) {
  queue_.RunUntil(queue_.now() + Seconds(seconds));
}

// Ends all faults and streams, and lets every host give back all its tokens.
void BudgetRun::Quiesce() {
  has_ended_ = true;
  platform_.EndFaults();
  RunFor(kQuiesceSeconds);
  for (int n = 0; n < kQuiesceRounds; ++n) {
    for (Slot& it : slots_) {
      it.host->Flush(true, [] {});
      RunFor(kQuiesceSeconds / static_cast<double>(size_.hosts));
    }
    RunFor(kQuiesceSeconds);
  }
}

RunResults BudgetRun::Run() {
  if (plan_.scenario == Scenario::kOutage &&
      (policy_ == Policy::kGrants || policy_ == Policy::kLending))
    WriteInitialSpend();
  for (std::size_t n = 0; n < size_.hosts; ++n)
    StartHost(n);
  ScheduleFaults();
  ScheduleRequest();
  RunFor(plan_.warm_seconds);
  const PlatformLoad before = platform_.load();
  std::vector<std::uint64_t> bytes_before;
  for (std::size_t n = 0; n < size_.hosts; ++n)
    bytes_before.push_back(BytesOf(n));
  is_counting_ = true;
  for (int n = 0; n < kBoundChecks; ++n) {
    RunFor(plan_.counted_seconds / kBoundChecks);
    CheckBound();
  }
  results_.counted_seconds = plan_.counted_seconds;
  results_.load = platform_.load() - before;
  for (std::size_t n = 0; n < size_.hosts; ++n) {
    const double bytes_per_second =
        static_cast<double>(BytesOf(n) - bytes_before[n]) /
        plan_.counted_seconds;
    results_.mean_bytes_per_second +=
        bytes_per_second / static_cast<double>(size_.hosts);
    results_.max_bytes_per_second =
        std::max(results_.max_bytes_per_second, bytes_per_second);
  }
  results_.unusable_percent = reference_.UnusablePercent();
  is_counting_ = false;
  Quiesce();
  CheckBound();
  if (results_.failed_check.empty())
    results_.failed_check = CheckRecordedBudgets();
  return results_;
}

}  // namespace turmericwinch
