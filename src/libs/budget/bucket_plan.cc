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

  void NoteReturns();
  void MergeCounters(const HostLedger& ledger);
  void Grant(const GrantRequest& wish, const HostLedger& ledger);
  void ReturnIdle(const GrantRequests& wishes);
  void ListBorrowers();
  void Close(const HostLedger& ledger);
  BucketPlan Take() { return std::move(plan_); }

 private:
  void NoteReturn(const std::string& budget,
                  const std::string& domain,
                  std::int64_t returned);
  void Merge(const std::string& budget, const HolderCounters& counters);

  const BucketSyncParts& parts_;
  const BucketState& state_;
  BucketPlan plan_;
};

void Planner::NoteReturn(const std::string& budget,
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

void Planner::NoteReturns() {
  for (const auto& [name, it] : state_.shard.budgets)
    NoteReturn(name, parts_.domain, it.returned);
  for (const auto& [name, domains] : state_.foreign_returned) {
    for (const auto& [domain, returned] : domains)
      NoteReturn(name, domain, returned);
  }
}

void Planner::Merge(const std::string& budget, const HolderCounters& counters) {
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
    Merge(name, it);
}

void Planner::Grant(const GrantRequest& wish, const HostLedger& ledger) {
  BudgetAccount& account = plan_.account.budgets[wish.budget];
  int reserve_percent = BudgetSetting().reserve_percent;
  if (std::optional<BudgetSetting> it = parts_.setting_of(wish.budget)) {
    reserve_percent = it->reserve_percent;
    plan_.account_changed |= SetDeclared(account, it->tokens, it->generation);
  }
  ShardBudget& shard = plan_.shard.budgets[wish.budget];
  const int hosts = parts_.hosts_in_domain();
  std::int64_t free =
      shard.Free(AllocatedTo(plan_.account, wish.budget, parts_.domain));
  const std::int64_t account_free = std::max<std::int64_t>(account.Free(), 0);
  const std::int64_t anywhere =
      AddSaturated(std::max<std::int64_t>(free, 0), account_free);
  if (anywhere < std::max<std::int64_t>(wish.smallest, 1)) {
    if (wish.needed > 0)
      plan_.short_of_tokens[wish.budget] = wish;
    return;
  }
  const bool lends = parts_.lender && wish.lent_rate > 0;
  const int domains = static_cast<int>(account.domains.size());
  std::int64_t wanted = wish.needed;
  double rate = wish.rate * hosts;
  if (lends) {
    rate = wish.lent_rate;
    wanted = PlanStock({wish.needed, rate, domains, anywhere, reserve_percent},
                       account, ledger.Available(wish.budget));
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
  HolderCounters counters = ledger.Counters(wish.budget);
  counters.granted = AddSaturated(
      counters.granted,
      lends
          ? std::min(wanted, std::max<std::int64_t>(free, 0))
          : PlanGrant({wish.needed, wish.rate, hosts, free, reserve_percent}));
  Merge(wish.budget, counters);
}

// Lists the borrowers in any write of the shard, so that the list always agrees
// with the counters, and in one of its own while a borrower that is not listed
// waits.
void Planner::ListBorrowers() {
  if (!parts_.lender || plan_.closes)
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

// Gives a budget's free tokens back to the account once no host of the domain
// holds any, or as far as the budget was lowered below what is allocated. The
// shard is written first, the account after it.
void Planner::ReturnIdle(const GrantRequests& wishes) {
  for (const auto& [name, counters] : plan_.counters) {
    ShardBudget& shard = plan_.shard.budgets[name];
    const std::int64_t free =
        shard.Free(AllocatedTo(plan_.account, name, parts_.domain));
    const std::int64_t lacking =
        std::max<std::int64_t>(-plan_.account.budgets[name].Free(), 0);
    const bool idle = shard.Outstanding() == 0 && !wishes.contains(name);
    const bool scarce = IsScarce(plan_.account.budgets[name]);
    const std::int64_t tokens =
        idle || (scarce && parts_.lender) ? free : std::min(free, lacking);
    if (tokens <= 0)
      continue;
    shard.returned = AddSaturated(shard.returned, tokens);
    plan_.returns = plan_.shard_changed = true;
  }
}

void Planner::Close(const HostLedger& ledger) {
  for (const std::string& it : ledger.ConfirmedBudgets(parts_.bucket)) {
    ShardBudget& shard = plan_.shard.budgets[it];
    auto row = shard.holders.find(parts_.holder);
    if (row != shard.holders.end() && row->second.Outstanding() != 0)
      return;
  }
  plan_.shard_changed |= plan_.shard.HasHolder(parts_.holder);
  CloseHolder(plan_.shard, parts_.holder);
  plan_.closes = plan_.shard_changed;
}

}  // namespace

BucketPlan MakeBucketPlan(const BucketSyncParts& parts,
                          const BucketState& state,
                          const GrantRequests& wishes,
                          bool closing,
                          const HostLedger& ledger) {
  Planner planner(parts, state);
  planner.NoteReturns();
  planner.MergeCounters(ledger);
  for (const auto& [name, wish] : wishes)
    planner.Grant(wish, ledger);
  planner.ReturnIdle(wishes);
  if (closing)
    planner.Close(ledger);
  planner.ListBorrowers();
  return planner.Take();
}

bool TakeIdle(const BucketState& state,
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
