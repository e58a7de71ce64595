#include "apps/measure_budget/recorded_budgets.h"

#include "apps/measure_budget/checked_bucket.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

namespace {

using RecordedBudgets = std::map<std::string, RecordedBudget>;

// Counts the tokens allocated to failure domains as free; AddShard subtracts
// those that are spent or outstanding.
void AddAccounts(const std::string& text, RecordedBudgets& budgets) {
  Reason reason;
  const std::optional<AccountBucket> bucket = ParseAccountBucket(text, &reason);
  for (const auto& [name, account] : bucket.value().budgets) {
    RecordedBudget& it = budgets[name];
    it.paid = account.Paid();
    it.free += account.Free();
    for (const auto& [domain, allocation] : account.domains)
      it.free += allocation.allocated - allocation.returned;
  }
}

void AddShard(const std::string& text,
              const std::set<std::string>& live,
              RecordedBudgets& budgets) {
  Reason reason;
  const std::optional<DomainShard> shard = ParseDomainShard(text, &reason);
  for (const auto& [name, budget] : shard.value().budgets) {
    RecordedBudget& it = budgets[name];
    it.spent += budget.Spent();
    it.outstanding += budget.Outstanding();
    it.free -= budget.Spent() + budget.Outstanding();
    for (const auto& [holder, counters] : budget.holders) {
      if (live.contains(holder))
        it.outstanding_live += counters.Outstanding();
    }
  }
}

void AddChecked(const std::string& text, RecordedBudgets& budgets) {
  for (const auto& [name, budget] : CheckedBucket::Parse(text).budgets) {
    budgets[name].spent += budget.spent;
    budgets[name].outstanding += budget.reserved;
  }
}

}  // namespace

RecordedBudgets ReadRecordedBudgets(const FakePlatform& platform,
                                    const std::set<std::string>& live) {
  RecordedBudgets budgets;
  for (const auto& [name, it] : platform.objects) {
    if (name.starts_with(kAccountPrefix))
      AddAccounts(it.value, budgets);
    else if (name.starts_with(kShardPrefix))
      AddShard(it.value, live, budgets);
    else if (name.starts_with(kCheckedPrefix))
      AddChecked(it.value, budgets);
  }
  return budgets;
}

}  // namespace turmericwinch
