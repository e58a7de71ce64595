#include "libs/budget/holder_release.h"

#include <algorithm>

#include "libs/budget/budget_account.h"

namespace turmericwinch {

SettledTotals SettledIn(const std::string& writer,
                        const std::vector<Bill>& bills) {
  SettledTotals totals;
  for (const Bill& it : bills) {
    const std::string& charged = it.charged_to.empty() ? writer : it.charged_to;
    std::int64_t& total = totals[charged][it.budget];
    total = std::max(total, it.settled_total);
  }
  return totals;
}

HolderRelease ReleaseHolder(
    DomainShard& shard,
    const std::string& holder,
    const EndedHolders& ends,
    const std::map<std::string, SettledTotals>& totals) {
  HolderRelease release;
  if (!ends.ended.contains(holder)) {
    release.waits_for.insert(holder);
    return release;
  }
  std::set<std::string> writers = {holder};
  auto list = shard.borrowers.find(holder);
  if (list != shard.borrowers.end()) {
    release.waits_for = ends.OpenBorrowers(holder, list->second);
    writers.insert(list->second.begin(), list->second.end());
  }
  if (!release.waits_for.empty())
    return release;
  std::map<std::string, std::int64_t> settled;
  for (const std::string& writer : writers) {
    auto found = totals.find(writer);
    if (found == totals.end())
      continue;
    auto charged = found->second.find(holder);
    if (charged == found->second.end())
      continue;
    for (const auto& [budget, total] : charged->second)
      settled[budget] = AddSaturated(settled[budget], total);
  }
  for (auto& [name, budget] : shard.budgets) {
    auto row = budget.holders.find(holder);
    if (row == budget.holders.end())
      continue;
    const std::int64_t unlisted = row->second.unlisted;
    MergeSettled(budget, holder, AddSaturated(settled[name], unlisted));
    release.released[name] = {row->second.settled, row->second.Outstanding()};
  }
  CloseHolder(shard, holder);
  return release;
}

std::map<std::string, std::int64_t> ReturnFreed(
    DomainShard& shard,
    const std::map<std::string, std::int64_t>& freed) {
  std::map<std::string, std::int64_t> totals;
  for (const auto& [name, tokens] : freed) {
    ShardBudget& budget = shard.budgets[name];
    if (tokens <= 0 || budget.Outstanding() != 0)
      continue;
    budget.returned = AddSaturated(budget.returned, tokens);
    totals[name] = budget.returned;
  }
  return totals;
}

}  // namespace turmericwinch
