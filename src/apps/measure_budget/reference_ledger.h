// A global ledger without delay. It records the tokens actually spent in a run,
// or the decisions of a perfect ledger on the same requests.

#ifndef SRC_APPS_MEASURE_BUDGET_REFERENCE_LEDGER_H_
#define SRC_APPS_MEASURE_BUDGET_REFERENCE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace turmericwinch {

// Tokens of one budget.
struct ReferenceBudget {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  // Whether a request was refused for any reason.
  bool refused = false;

  std::int64_t Room() const { return paid - spent - reserved; }
  // Whether the budget is nearly used up.
  bool IsAtEnd() const;
};

class ReferenceLedger {
 public:
  explicit ReferenceLedger(const std::vector<std::int64_t>& paid);

  bool HasRoom(std::size_t budget, std::int64_t tokens) const;
  void Accept(std::size_t budget, std::int64_t bound);
  void Refuse(std::size_t budget);
  void Settle(std::size_t budget, std::int64_t bound, std::int64_t used);
  // Ends the reservation of a request that did not finish.
  void Release(std::size_t budget, std::int64_t bound);
  void TopUp(std::size_t budget, std::int64_t tokens);

  const std::vector<ReferenceBudget>& budgets() const { return budgets_; }
  std::int64_t Overspent() const;
  // Tokens left in budgets that refused requests, in percent of their paid
  // tokens.
  double UnusablePercent() const;

 private:
  std::vector<ReferenceBudget> budgets_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_REFERENCE_LEDGER_H_
