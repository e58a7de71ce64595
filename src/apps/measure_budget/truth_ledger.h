// What a perfect global ledger knows: the measure of every refusal.

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
  bool IsAtEnd() const;
};

// Requests counted in a window of time.
struct RefusalCount {
  std::uint64_t acceptable = 0;
  std::uint64_t refused = 0;

  double Percent() const;
};

// Follows one run. A refusal is false if the budget had room for the request
// when it was refused.
class TruthLedger {
 public:
  explicit TruthLedger(std::vector<std::int64_t> paid);

  bool HasRoom(std::size_t budget, std::int64_t tokens) const;
  void Accept(std::size_t budget, std::int64_t bound);
  void Refuse(std::size_t budget, std::int64_t bound);
  void Settle(std::size_t budget, std::int64_t bound, std::int64_t used);
  // The request did not finish.
  void Release(std::size_t budget, std::int64_t bound);
  void TopUp(std::size_t budget, std::int64_t tokens);

  // Whether requests are counted now.
  void SetCounting(bool on) { counting_ = on; }
  const RefusalCount& all() const { return all_; }
  // Of budgets at their end.
  const RefusalCount& at_end() const { return at_end_; }
  const std::vector<TruthBudget>& budgets() const { return budgets_; }
  std::int64_t Overspent() const;
  // Share of the tokens of budgets that refused which are left, in percent.
  double UnusablePercent() const;

 private:
  void Count(const TruthBudget& budget, bool refused);

  std::vector<TruthBudget> budgets_;
  bool counting_ = false;
  RefusalCount all_;
  RefusalCount at_end_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_TRUTH_LEDGER_H_
