#include "libs/budget/holder_release.h"

namespace turmericwinch {

std::map<std::string, ReleasedTokens> ReleaseHolder(
    DomainShard& shard,
    const std::string& holder,
    const std::vector<Bill>& bills) {
  for (const Bill& it : bills) {
    auto budget = shard.budgets.find(it.budget);
    if (budget != shard.budgets.end())
      MergeSettled(budget->second, holder, it.settled_total);
  }
  std::map<std::string, ReleasedTokens> released;
  for (auto& [name, budget] : shard.budgets) {
    auto row = budget.holders.find(holder);
    if (row == budget.holders.end())
      continue;
    released[name] = {row->second.settled, row->second.Outstanding()};
    CloseHolder(budget, holder);
  }
  return released;
}

}  // namespace turmericwinch
