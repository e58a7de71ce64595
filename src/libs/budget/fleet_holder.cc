#include "libs/budget/fleet_holder.h"

#include <algorithm>
#include <utility>

#include "libs/budget/fleet_account_merge.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;
// Holders that one write lists for others.
constexpr std::size_t kMaxIntroductions = 1'024;

// Tokens that holders may have drawn although neither the store nor a host
// knows of it, as the store lost the writes and all hosts ended.
std::int64_t UnknownDraws(const FleetBudget& budget, std::int64_t paid) {
  const double drawn = static_cast<double>(budget.peak_rate) *
                       static_cast<double>(kMaxCopyAge.count()) *
                       kUnknownDrawFactor;
  return std::min(static_cast<std::int64_t>(drawn),
                  std::max<std::int64_t>(budget.Free(paid), 0));
}

}  // namespace

FleetHolder::FleetHolder(std::string holder,
                         std::string boot_id,
                         std::string address,
                         std::string domain,
                         std::int64_t link_mbps)
    : holder_(std::move(holder)),
      boot_id_(std::move(boot_id)),
      address_(std::move(address)),
      domain_(std::move(domain)),
      link_mbps_(link_mbps) {}

void FleetHolder::LoadAccount(FleetAccount account,
                              BootTime now,
                              std::uint64_t era) {
  RememberKnown(account.era, era);
  era_ = era;
  if (remembered_)
    account = MergeFleetAccounts(account, *remembered_);
  const bool is_settled =
      era == 0 || (account.era == era && account.is_settled);
  if (is_settled)
    unsettled_since_.reset();
  else if (!unsettled_since_)
    unsettled_since_ = now;
  is_closed_ =
      is_closed_ || (is_written_ && !account.heartbeats.contains(holder_));
  earlier_incarnations_ = EarlierIncarnations(account, holder_);
  CloseEnded(account, earlier_incarnations_, OwnHeartbeat(now));
  known_ = std::move(account);
  DropListedIntroductions();
  MeasureDraws(now);
  stock_hosts_ = StockHosts(known_, holder_, domain_);
}

std::int64_t FleetHolder::Unopened(const std::string& budget,
                                   const HolderCounters& ledger) const {
  auto found = known_.budgets.find(budget);
  if (found == known_.budgets.end())
    return 0;
  auto row = found->second.rows.find(holder_);
  if (row == found->second.rows.end())
    return 0;
  auto returned = given_back_.find(budget);
  const std::int64_t given_back =
      returned == given_back_.end() ? 0 : returned->second;
  return std::max<std::int64_t>(
      row->second.granted - given_back - ledger.granted, 0);
}

bool FleetHolder::PlanWrite(const std::map<std::string, HolderDemand>& demands,
                            HostLedger& ledger,
                            BootTime now) {
  planned_ = known_;
  planned_grants_.clear();
  bool is_due = PlanEra(now);
  const bool charges_unknown =
      unsettled_since_ && planned_.is_settled && !planned_.is_remembered;
  bool holds_unopened = false;
  const int hosts = stock_hosts_.CountPerBudget();
  // Before the first write took effect, other hosts may be starting as well, so
  // the account does not yet show who keeps the stock.
  const bool is_first = !known_.heartbeats.contains(holder_);
  for (const auto& [name, holder_demand] : demands) {
    FleetBudget& budget = planned_.budgets[name];
    budget.peak_rate = std::max(budget.peak_rate, peak_rates_[name]);
    if (charges_unknown)
      budget.closed += UnknownDraws(budget, holder_demand.paid);
    FleetDemand demand;
    demand.unspent = holder_demand.paid - budget.Spent();
    demand.free = planned_.is_settled ? budget.Free(holder_demand.paid) : 0;
    demand.available = ledger.Available(name);
    demand.unopened = Unopened(name, ledger.Counters(name));
    demand.needed = CoveredTokens(holder_demand.waiting,
                                  std::max<std::int64_t>(demand.available, 0) +
                                      demand.unopened +
                                      std::max<std::int64_t>(demand.free, 0));
    demand.demand_share =
        DemandShare(budget, holder_, holder_demand.paid, hosts);
    demand.rate = holder_demand.rate;
    demand.request_cost =
        holder_demand.request_cost > 0
            ? holder_demand.request_cost
            : static_cast<double>(holder_demand.paid) * kFleetInitialCostShare;
    demand.keeps_stock = !is_first && (holder_demand.lends ||
                                       stock_hosts_.LendersFor(name).empty());
    demand.hosts_served = stock_hosts_.HostsServed();
    const FleetDraw plan = PlanFleetDraw(demand);
    is_due = is_due || plan.is_due;
    holds_unopened = holds_unopened || demand.unopened > 0;
    ledger.GiveBackAbove(name, plan.keep_open);
    std::int64_t& given_back = given_back_[name];
    given_back += plan.give_back;
    const HolderCounters counters = ledger.Counters(name);
    FleetRow row;
    auto known = budget.rows.find(holder_);
    if (known != budget.rows.end())
      row = known->second;
    row.granted += plan.draw;
    const std::int64_t known_given_back = row.given_back;
    row.given_back = given_back + counters.given_back;
    // The tokens have left the ledger. They are free for other hosts only once
    // the account has them.
    is_due = is_due || row.given_back > known_given_back;
    const std::int64_t granted = counters.granted + plan.open;
    row.opened = granted - counters.given_back;
    if (row == FleetRow())
      continue;
    budget.rows[holder_] = row;
    planned_grants_[name] = granted;
  }
  planned_.heartbeats[holder_] = OwnHeartbeat(now);
  for (const auto& [holder, it] : introductions_) {
    CloseEnded(planned_, it.ended, it.heartbeat);
    is_due = planned_.heartbeats.emplace(holder, it.heartbeat).second || is_due;
  }
  return is_due || is_first || !earlier_incarnations_.empty() ||
         (holds_unopened && now - last_issued_ >= kFleetHeartbeatInterval);
}

// An account that the store lost was known before the era changed. One that was
// overwritten by a write of an earlier era is of this era. Any other account of
// an earlier era is a copy, which the store has anyway.
void FleetHolder::RememberKnown(std::uint64_t account_era, std::uint64_t era) {
  const bool is_lost = era != era_ && !known_.heartbeats.empty();
  const bool is_overwritten = account_era != era && known_.era == era;
  if (!is_lost && !is_overwritten)
    return;
  remembered_ = remembered_ ? MergeFleetAccounts(*remembered_, known_) : known_;
}

void FleetHolder::MeasureDraws(BootTime now) {
  const BootTime elapsed = now - draws_base_time_;
  if (draws_base_ && elapsed < kDrawRateWindow)
    return;
  if (draws_base_) {
    for (const auto& [name, budget] : known_.budgets) {
      std::int64_t drawn = 0;
      const std::map<std::string, FleetRow>& base =
          draws_base_->budgets[name].rows;
      for (const auto& [holder, row] : budget.rows) {
        if (auto it = base.find(holder); it != base.end())
          drawn += row.Held() - it->second.Held();
      }
      std::int64_t& peak = peak_rates_[name];
      peak = std::max(peak, drawn * kMillisecondsPerSecond / elapsed.count());
    }
  }
  draws_base_ = known_;
  draws_base_time_ = now;
}

bool FleetHolder::PlanEra(BootTime now) {
  planned_.is_remembered = (planned_.era == era_ && planned_.is_remembered) ||
                           remembered_.has_value();
  planned_.era = era_;
  planned_.is_settled =
      !unsettled_since_ || now - *unsettled_since_ >= kSettleTime;
  return remembered_ || (unsettled_since_ && planned_.is_settled);
}

bool FleetHolder::MayDrawForLoan(const std::string& budget,
                                 std::int64_t paid,
                                 std::int64_t tokens) const {
  if (stock_hosts_.HostsServed() == 1 || !is_settled())
    return false;
  auto found = known_.budgets.find(budget);
  const std::int64_t free =
      found == known_.budgets.end() ? paid : found->second.Free(paid);
  return free >= tokens;
}

void FleetHolder::Introduce(const std::string& holder,
                            const FleetHeartbeat& heartbeat,
                            const std::vector<std::string>& ended) {
  if (holder != holder_ && introductions_.size() < kMaxIntroductions)
    introductions_.insert_or_assign(holder, Introduction{heartbeat, ended});
}

void FleetHolder::DropListedIntroductions() {
  std::erase_if(introductions_, [this](const auto& it) {
    return known_.heartbeats.contains(it.first);
  });
}

FleetHeartbeat FleetHolder::OwnHeartbeat(BootTime now) const {
  return {boot_id_, now, address_, domain_, link_mbps_};
}

bool FleetHolder::PlanClose(const HostLedger& ledger) {
  planned_ = known_;
  planned_.is_settled = is_settled();
  planned_.era = era_;
  planned_grants_.clear();
  std::map<std::string, std::int64_t> spent;
  for (const auto& [name, it] : ledger.Snapshot())
    spent[name] =
        it.counters.granted - it.counters.given_back - ledger.Available(name);
  CloseHolder(planned_, holder_, spent);
  return known_.heartbeats.contains(holder_);
}

void FleetHolder::BeginWrite(BootTime now) {
  last_issued_ = now;
  auto heartbeat = planned_.heartbeats.find(holder_);
  if (heartbeat != planned_.heartbeats.end())
    heartbeat->second.time = now;
}

std::map<std::string, std::int64_t> FleetHolder::ConfirmWrite() {
  known_ = planned_;
  remembered_.reset();
  earlier_incarnations_.clear();
  // Others may have been added while the write was on its way.
  DropListedIntroductions();
  if (known_.is_settled)
    unsettled_since_.reset();
  is_written_ = known_.heartbeats.contains(holder_);
  return std::exchange(planned_grants_, {});
}

std::map<std::string, std::int64_t> FleetHolder::OpenAll(
    const HostLedger& ledger,
    BootTime now) const {
  std::map<std::string, std::int64_t> granted;
  if (now - last_issued_ <= kOpenAllDelay)
    return granted;
  for (const auto& [name, budget] : known_.budgets) {
    const HolderCounters counters = ledger.Counters(name);
    const std::int64_t unopened = Unopened(name, counters);
    if (unopened > 0)
      granted[name] = counters.granted + unopened;
  }
  return granted;
}

}  // namespace turmericwinch
