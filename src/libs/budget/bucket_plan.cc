#include "libs/budget/bucket_plan.h"

#include <algorithm>

#include "libs/budget/grant_planner.h"
#include "libs/budget/lender.h"

namespace turmericwinch {

namespace {

std::int64_t AllocatedTo(const AccountBucket& accounts,
                         const std::string& budget,
                         const std::string& domain) {
  auto account = accounts.budgets.find(budget);
  if (account == accounts.budgets.end())
    return 0;
  auto it = account->second.domains.find(domain);
  return it == account->second.domains.end() ? 0 : it->second.allocated;
}

class Planner {
 public:
  Planner(const BucketSyncParts& parts, const BucketState& state)
      : parts_(parts), state_(state) {
    plan_.account = state.account;
    plan_.shard = state.shard;
  }

  void RecordReturns();
  void MergeCounters(const HostLedger& ledger);
  void GrantTokens(const GrantRequest& request, const HostLedger& ledger);
  void ReturnFreeTokens(const GrantRequests& requests);
  void ListBorrowers();
  void CloseHolderIfUnused(const HostLedger& ledger);
  BucketPlan TakePlan() { return std::move(plan_); }

 private:
  void RecordReturn(const std::string& budget,
                    const std::string& domain,
                    std::int64_t returned);
  void MergeBudget(const std::string& budget, const HolderCounters& counters);

  const BucketSyncParts& parts_;
  const BucketState& state_;
  BucketPlan plan_;
};

void Planner::RecordReturn(const std::string& budget,
                           const std::string& domain,
                           std::int64_t returned) {
  auto account = plan_.account.budgets.find(budget);
  if (account == plan_.account.budgets.end())
    return;
  auto it = account->second.domains.find(domain);
  if (it == account->second.domains.end() || returned <= it->second.returned)
    return;
  RecordReturned(account->second, domain, returned);
  plan_.account_changed = true;
}

void Planner::RecordReturns() {
  for (const auto& [name, it] : state_.shard.budgets)
    RecordReturn(name, parts_.domain, it.returned);
  for (const auto& [name, domains] : state_.foreign_returned) {
    for (const auto& [domain, returned] : domains)
      RecordReturn(name, domain, returned);
  }
}

void Planner::MergeBudget(const std::string& budget,
                          const HolderCounters& counters) {
  ShardBudget& shard = plan_.shard.budgets[budget];
  const std::int64_t allocated =
      AllocatedTo(plan_.account, budget, parts_.domain);
  auto before = shard.holders.find(parts_.holder);
  const HolderCounters was =
      before == shard.holders.end() ? HolderCounters() : before->second;
  const HolderCounters now =
      MergeHolder(shard, parts_.holder, counters, allocated);
  plan_.counters[budget] = now;
  plan_.shard_changed |= now != was;
}

void Planner::MergeCounters(const HostLedger& ledger) {
  for (const auto& [name, it] : ledger.UnconfirmedCounters(parts_.bucket))
    MergeBudget(name, it);
}

void Planner::GrantTokens(const GrantRequest& request,
                          const HostLedger& ledger) {
  BudgetAccount& account = plan_.account.budgets[request.budget];
  int reserve_percent = BudgetSetting().reserve_percent;
  if (std::optional<BudgetSetting> it = parts_.setting_of(request.budget)) {
    reserve_percent = it->reserve_percent;
    plan_.account_changed |= SetDeclared(account, it->tokens, it->generation);
  }
  ShardBudget& shard = plan_.shard.budgets[request.budget];
  const int hosts = parts_.hosts_in_domain();
  std::int64_t free =
      shard.Free(AllocatedTo(plan_.account, request.budget, parts_.domain));
  const std::int64_t account_free = std::max<std::int64_t>(account.Free(), 0);
  const std::int64_t total_free =
      AddSaturated(std::max<std::int64_t>(free, 0), account_free);
  if (total_free < std::max<std::int64_t>(request.smallest, 1)) {
    if (request.needed > 0)
      plan_.short_of_tokens[request.budget] = request;
    return;
  }
  const bool is_lender = parts_.lender && request.lent_rate > 0;
  const int domains = static_cast<int>(account.domains.size());
  std::int64_t wanted = request.needed;
  double rate = request.rate * hosts;
  if (is_lender) {
    rate = request.lent_rate;
    wanted =
        PlanStock({request.needed, rate, domains, total_free, reserve_percent},
                  account, ledger.Available(request.budget));
  }
  if (free < wanted) {
    account.domains[parts_.domain];
    const std::int64_t allocation = PlanAllocation(
        {wanted - free, rate, static_cast<int>(account.domains.size()),
         account_free, reserve_percent});
    const std::int64_t added = Allocate(account, parts_.domain, allocation);
    plan_.account_changed |= added > 0;
    free += added;
  }
  HolderCounters counters = ledger.Counters(request.budget);
  counters.granted =
      AddSaturated(counters.granted,
                   is_lender ? std::min(wanted, std::max<std::int64_t>(free, 0))
                             : PlanGrant({request.needed, request.rate, hosts,
                                          free, reserve_percent}));
  MergeBudget(request.budget, counters);
}

// Updates the borrower list with every write of the shard, so that the list
// always agrees with the counters. Causes a write on its own only if a borrower
// that is not listed yet waits for a loan.
void Planner::ListBorrowers() {
  if (!parts_.lender || plan_.closes_holder)
    return;
  const std::set<std::string> list =
      parts_.lender->BorrowersToList(parts_.bucket);
  auto it = plan_.shard.borrowers.find(parts_.holder);
  const bool listed = it != plan_.shard.borrowers.end();
  if (listed ? it->second == list : list.empty())
    return;
  if (!plan_.shard_changed &&
      !parts_.lender->BucketsToList().contains(parts_.bucket))
    return;
  plan_.shard_changed = true;
  plan_.shard.borrowers[parts_.holder] = list;
}

// Returns a budget's free tokens to the account: all of them if no host of the
// domain holds any or if a lender sees that the budget is scarce, otherwise as
// many as the account lacks because the budget was lowered below what is
// allocated. The shard is written first; the account gets the return in a later
// write.
void Planner::ReturnFreeTokens(const GrantRequests& requests) {
  for (const auto& [name, counters] : plan_.counters) {
    ShardBudget& shard = plan_.shard.budgets[name];
    const std::int64_t free =
        shard.Free(AllocatedTo(plan_.account, name, parts_.domain));
    const std::int64_t lacking =
        std::max<std::int64_t>(-plan_.account.budgets[name].Free(), 0);
    const bool idle = shard.Outstanding() == 0 && !requests.contains(name);
    const bool is_scarce = IsScarce(plan_.account.budgets[name]);
    const std::int64_t tokens =
        idle || (is_scarce && parts_.lender) ? free : std::min(free, lacking);
    if (tokens <= 0)
      continue;
    shard.returned = AddSaturated(shard.returned, tokens);
    plan_.returns_tokens = plan_.shard_changed = true;
  }
}

void Planner::CloseHolderIfUnused(const HostLedger& ledger) {
  for (const std::string& it : ledger.ConfirmedBudgets(parts_.bucket)) {
    ShardBudget& shard = plan_.shard.budgets[it];
    auto row = shard.holders.find(parts_.holder);
    if (row != shard.holders.end() && row->second.Outstanding() != 0)
      return;
  }
  plan_.shard_changed |= plan_.shard.HasHolder(parts_.holder);
  CloseHolder(plan_.shard, parts_.holder);
  plan_.closes_holder = plan_.shard_changed;
}

}  // namespace

BucketPlan MakeBucketPlan(const BucketSyncParts& parts,
                          const BucketState& state,
                          const GrantRequests& requests,
                          bool closing,
                          const HostLedger& ledger) {
  Planner planner(parts, state);
  planner.RecordReturns();
  planner.MergeCounters(ledger);
  for (const auto& [name, request] : requests)
    planner.GrantTokens(request, ledger);
  planner.ReturnFreeTokens(requests);
  if (closing)
    planner.CloseHolderIfUnused(ledger);
  planner.ListBorrowers();
  return planner.TakePlan();
}

bool ReturnIdleTokens(const BucketState& state,
                      const std::string& domain,
                      std::map<std::string, std::int64_t>& missing,
                      DomainShard& shard) {
  bool changed = false;
  for (auto& [name, lacking] : missing) {
    auto it = shard.budgets.find(name);
    if (it == shard.budgets.end() || lacking <= 0)
      continue;
    const std::int64_t free =
        it->second.Free(AllocatedTo(state.account, name, domain));
    const std::int64_t tokens = std::min(free, lacking);
    if (tokens <= 0)
      continue;
    it->second.returned = AddSaturated(it->second.returned, tokens);
    lacking -= tokens;
    changed = true;
  }
  return changed;
}

}  // namespace turmericwinch
