#include "apps/measure_budget/reference_ledger.h"

#include <algorithm>

#include "apps/measure_budget/model_constants.h"

namespace turmericwinch {

bool ReferenceBudget::IsAtEnd() const {
  return static_cast<double>(Room()) <= kAtEndShare * static_cast<double>(paid);
}

ReferenceLedger::ReferenceLedger(const std::vector<std::int64_t>& paid) {
  for (std::int64_t it : paid)
    budgets_.push_back({it, 0, 0, false});
}

bool ReferenceLedger::HasRoom(std::size_t budget, std::int64_t tokens) const {
  return budgets_[budget].Room() >= tokens;
}

void ReferenceLedger::Accept(std::size_t budget, std::int64_t bound) {
  budgets_[budget].reserved += bound;
}

void ReferenceLedger::Refuse(std::size_t budget) {
  budgets_[budget].refused = true;
}

void ReferenceLedger::Settle(std::size_t budget,
                             std::int64_t bound,
                             std::int64_t used) {
  budgets_[budget].reserved -= bound;
  budgets_[budget].spent += used;
}

void ReferenceLedger::Release(std::size_t budget, std::int64_t bound) {
  budgets_[budget].reserved -= bound;
}

void ReferenceLedger::TopUp(std::size_t budget, std::int64_t tokens) {
  budgets_[budget].paid += tokens;
}

std::int64_t ReferenceLedger::Overspent() const {
  std::int64_t tokens = 0;
  for (const ReferenceBudget& it : budgets_)
    tokens += std::max<std::int64_t>(it.spent + it.reserved - it.paid, 0);
  return tokens;
}

double ReferenceLedger::UnusablePercent() const {
  double left = 0;
  double paid = 0;
  for (const ReferenceBudget& it : budgets_) {
    if (!it.refused)
      continue;
    left += static_cast<double>(it.Room());
    paid += static_cast<double>(it.paid);
  }
  return paid > 0 ? 100 * left / paid : 0;
}

}  // namespace turmericwinch
