// A ledger that knows all at once: what was truly spent in a run, or what a
// perfect global ledger makes of the same requests.

#ifndef SRC_APPS_MEASURE_BUDGET_TRUTH_LEDGER_H_
#define SRC_APPS_MEASURE_BUDGET_TRUTH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace turmericwinch {

// Tokens of one budget.
struct TruthBudget {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  // Whether a request was refused, for whatever reason.
  bool refused = false;

  std::int64_t Room() const { return paid - spent - reserved; }
  // Whether only the last part of it is left.
  bool IsAtEnd() const;
};

class TruthLedger {
 public:
  explicit TruthLedger(const std::vector<std::int64_t>& paid);

  bool HasRoom(std::size_t budget, std::int64_t tokens) const;
  void Accept(std::size_t budget, std::int64_t bound);
  void Refuse(std::size_t budget);
  void Settle(std::size_t budget, std::int64_t bound, std::int64_t used);
  // The request did not finish.
  void Release(std::size_t budget, std::int64_t bound);
  void TopUp(std::size_t budget, std::int64_t tokens);

  const std::vector<TruthBudget>& budgets() const { return budgets_; }
  std::int64_t Overspent() const;
  // Share of the tokens of budgets that refused which are left, in percent.
  double UnusablePercent() const;

 private:
  std::vector<TruthBudget> budgets_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_TRUTH_LEDGER_H_
