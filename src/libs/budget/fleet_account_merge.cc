#include "libs/budget/fleet_account_merge.h"

#include <algorithm>

namespace turmericwinch {

namespace {

// Totals of a row only grow, except for `opened`, which falls as tokens are
// given back.
bool IsNewer(const FleetRow& row, const FleetRow& other) {
  const std::int64_t total = row.granted + row.given_back;
  const std::int64_t other_total = other.granted + other.given_back;
  return total == other_total ? row.opened > other.opened : total > other_total;
}

void MergeRows(const FleetBudget& from, FleetBudget& into) {
  into.peak_rate = std::max(into.peak_rate, from.peak_rate);
  for (const auto& [holder, row] : from.rows) {
    auto [known, is_new] = into.rows.try_emplace(holder, row);
    if (!is_new && IsNewer(row, known->second))
      known->second = row;
  }
}

void MergeHeartbeats(const FleetAccount& from, FleetAccount& into) {
  for (const auto& [holder, heartbeat] : from.heartbeats) {
    auto [known, is_new] = into.heartbeats.try_emplace(holder, heartbeat);
    if (!is_new && known->second.boot_id == heartbeat.boot_id)
      known->second.time = std::max(known->second.time, heartbeat.time);
  }
}

FleetClosing& ClosingOf(const std::string& holder, FleetAccount& account) {
  auto it =
      std::find_if(account.closings.begin(), account.closings.end(),
                   [&](const FleetClosing& it) { return it.holder == holder; });
  if (it != account.closings.end())
    return *it;
  return account.closings.emplace_back(FleetClosing{holder, {}});
}

void MergeClosings(const FleetAccount& from, FleetAccount& into) {
  for (const FleetClosing& it : from.closings) {
    FleetClosing& closing = ClosingOf(it.holder, into);
    for (const auto& [budget, charge] : it.charges) {
      FleetCharge& known = closing.charges[budget];
      known.charged = std::max(known.charged, charge.charged);
      known.granted = std::max(known.granted, charge.granted);
    }
  }
}

// Charges a closed holder with what its last row shows beyond the row with
// which it was closed.
void ChargeLateRow(const FleetRow& row, FleetCharge& charge) {
  const std::int64_t unknown =
      std::clamp<std::int64_t>(row.granted - charge.granted, 0, row.Held());
  charge.charged += unknown;
  charge.granted = std::max(charge.granted, row.granted);
}

std::int64_t ChargedToRecentHolders(const FleetAccount& account,
                                    const std::string& budget) {
  std::int64_t sum = 0;
  for (const FleetClosing& it : account.closings) {
    auto charge = it.charges.find(budget);
    if (charge != it.charges.end())
      sum += charge->second.charged;
  }
  return sum;
}

// Tokens charged to holders that are no longer among the closings.
std::int64_t ChargedBefore(const FleetAccount& account,
                           const std::string& name) {
  auto budget = account.budgets.find(name);
  if (budget == account.budgets.end())
    return 0;
  return budget->second.closed - ChargedToRecentHolders(account, name);
}

}  // namespace

FleetAccount MergeFleetAccounts(const FleetAccount& stored,
                                const FleetAccount& remembered) {
  FleetAccount merged = stored;
  MergeClosings(remembered, merged);
  MergeHeartbeats(remembered, merged);
  for (const auto& [name, budget] : remembered.budgets)
    MergeRows(budget, merged.budgets[name]);
  for (FleetClosing& closing : merged.closings) {
    merged.heartbeats.erase(closing.holder);
    for (auto& [name, budget] : merged.budgets) {
      auto row = budget.rows.find(closing.holder);
      if (row == budget.rows.end())
        continue;
      ChargeLateRow(row->second, closing.charges[name]);
      budget.rows.erase(row);
    }
  }
  for (auto& [name, budget] : merged.budgets) {
    budget.closed =
        std::max(ChargedBefore(stored, name), ChargedBefore(remembered, name)) +
        ChargedToRecentHolders(merged, name);
  }
  return merged;
}

}  // namespace turmericwinch
