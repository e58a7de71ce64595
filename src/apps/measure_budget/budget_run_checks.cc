// The sums of a run that must come out.

#include <algorithm>
#include <set>

#include "apps/measure_budget/budget_run.h"
#include "apps/measure_budget/recorded_budgets.h"

namespace turmericwinch {

void BudgetRun::CheckBound() {
  TokensOf held;
  for (const Slot& slot : slots_) {
    for (const auto& [name, tokens] : slot.host->Held())
      held[name] += tokens;
    results_.max_memory_bytes =
        std::max(results_.max_memory_bytes, slot.host->MemoryBytes());
  }
  std::int64_t above = reference_.Overspent();
  for (const auto& [name, tokens] : held) {
    const ReferenceBudget& it = reference_.budgets()[budget_index_.at(name)];
    above = std::max(above, it.spent + tokens - it.paid);
  }
  results_.overspent = std::max(results_.overspent, above);
  CheckHeld(held);
}

// A host receives a grant after the platform has recorded it, and stops using
// the tokens before the platform records their return. So hosts never hold more
// tokens than are recorded.
void BudgetRun::CheckHeld(const TokensOf& held) {
  if (policy_ == Policy::kSplit || !results_.failed_check.empty())
    return;
  const std::map<std::string, RecordedBudget> budgets =
      ReadRecordedBudgets(platform_.store(), {});
  for (const auto& [name, tokens] : held) {
    const auto it = budgets.find(name);
    const std::int64_t recorded =
        it == budgets.end() ? 0 : it->second.outstanding;
    if (tokens > recorded) {
      results_.failed_check = name + ": hosts hold " + std::to_string(tokens) +
                              " tokens, but only " + std::to_string(recorded) +
                              " are recorded";
      return;
    }
  }
}

std::string BudgetRun::CheckBudget(std::size_t n,
                                   const RecordedBudget* recorded) const {
  const ReferenceBudget& reference = reference_.budgets()[n];
  const std::string& name = trace_.names()[n];
  const auto unconfirmed_entry = unconfirmed_.find(name);
  const std::int64_t unconfirmed =
      unconfirmed_entry == unconfirmed_.end() ? 0 : unconfirmed_entry->second;
  const auto billed = platform_.billed().find(name);
  const std::int64_t bills =
      billed == platform_.billed().end() ? 0 : billed->second;
  if (reference.reserved != 0)
    return name + ": a request did not end";
  if (bills > reference.spent || bills + unconfirmed < reference.spent)
    return name + ": " + std::to_string(bills) + " billed of " +
           std::to_string(reference.spent) + " spent";
  if (!recorded)
    return "";
  const std::int64_t initial_spent =
      policy_ == Policy::kChecked ? 0 : initial_spent_[n];
  const std::int64_t spent = recorded->spent - initial_spent;
  const bool counted =
      results_.crashes > 0
          ? spent <= reference.spent &&
                spent + recorded->outstanding >= reference.spent
          : spent == reference.spent && recorded->outstanding == 0;
  if (!counted || recorded->outstanding_live != 0 || recorded->free < 0) {
    return name + ": spent " + std::to_string(reference.spent) + ", recorded " +
           std::to_string(spent) + ", outstanding " +
           std::to_string(recorded->outstanding) + " (" +
           std::to_string(recorded->outstanding_live) +
           " at live hosts), free " + std::to_string(recorded->free);
  }
  if (policy_ != Policy::kChecked &&
      recorded->paid != reference.paid + initial_spent)
    return name + ": paid " + std::to_string(reference.paid) + ", recorded " +
           std::to_string(recorded->paid);
  return "";
}

std::string BudgetRun::CheckRecordedBudgets() const {
  if (policy_ == Policy::kPerfect)
    return "";
  std::set<std::string> live;
  for (const Slot& it : slots_)
    live.insert(it.holder);
  std::map<std::string, RecordedBudget> budgets =
      ReadRecordedBudgets(platform_.store(), live);
  // Tokens that a live host lent to an ended host stay with the ended host.
  for (const Slot& it : slots_) {
    for (const auto& [name, tokens] : it.host->LentOutside(live))
      budgets[name].outstanding_live -= tokens;
  }
  for (std::size_t n = 0; n < initial_paid_.size(); ++n) {
    const auto it = budgets.find(trace_.names()[n]);
    // A budget that no host drew on is not declared yet, and fixed shares are
    // not recorded at the platform.
    const bool used =
        policy_ != Policy::kSplit && reference_.budgets()[n].spent > 0;
    const std::string failed_check =
        CheckBudget(n, it == budgets.end() || !used ? nullptr : &it->second);
    if (!failed_check.empty())
      return failed_check;
  }
  return "";
}

}  // namespace turmericwinch
