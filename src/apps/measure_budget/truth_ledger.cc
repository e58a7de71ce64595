#include "apps/measure_budget/truth_ledger.h"

#include <algorithm>

#include "apps/measure_budget/model_constants.h"

namespace turmericwinch {

bool TruthBudget::IsAtEnd() const {
  return static_cast<double>(Room()) <= kLastShare * static_cast<double>(paid);
}

TruthLedger::TruthLedger(const std::vector<std::int64_t>& paid) {
  for (std::int64_t it : paid)
    budgets_.push_back({it, 0, 0, false});
}

bool TruthLedger::HasRoom(std::size_t budget, std::int64_t tokens) const {
  return budgets_[budget].Room() >= tokens;
}

void TruthLedger::Accept(std::size_t budget, std::int64_t bound) {
  budgets_[budget].reserved += bound;
}

void TruthLedger::Refuse(std::size_t budget) {
  budgets_[budget].refused = true;
}

void TruthLedger::Settle(std::size_t budget,
                         std::int64_t bound,
                         std::int64_t used) {
  budgets_[budget].reserved -= bound;
  budgets_[budget].spent += used;
}

void TruthLedger::Release(std::size_t budget, std::int64_t bound) {
  budgets_[budget].reserved -= bound;
}

void TruthLedger::TopUp(std::size_t budget, std::int64_t tokens) {
  budgets_[budget].paid += tokens;
}

std::int64_t TruthLedger::Overspent() const {
  std::int64_t tokens = 0;
  for (const TruthBudget& it : budgets_)
    tokens += std::max<std::int64_t>(it.spent + it.reserved - it.paid, 0);
  return tokens;
}

double TruthLedger::UnusablePercent() const {
  double left = 0;
  double paid = 0;
  for (const TruthBudget& it : budgets_) {
    if (!it.refused)
      continue;
    left += static_cast<double>(it.Room());
    paid += static_cast<double>(it.paid);
  }
  return paid > 0 ? 100 * left / paid : 0;
}

}  // namespace turmericwinch
