// Tracks this host's demand for each budget. Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_BUDGET_DEMANDS_H_
#define SRC_LIBS_GATEWAY_BUDGET_DEMANDS_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/budget/demand_rate.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

class BudgetDemands {
 public:
  // `start` is the time from which demand is measured.
  explicit BudgetDemands(MonotonicTime start) : start_(start) {}

  // Records `used`, the total of the tokens that requests and borrowers have
  // used of the budget so far.
  void RecordUsed(const std::string& budget,
                  std::int64_t used,
                  MonotonicTime now);
  // Records that a request cost `tokens`.
  void RecordRequestCost(const std::string& budget, std::int64_t tokens);
  // Tokens per second, averaged over kDemandWindow and corrected for the part
  // of the window before the start.
  double Rate(const std::string& budget, MonotonicTime now) const;
  // Moving average of the tokens that a request costs; 0 before the first.
  double AverageRequestCost(const std::string& budget) const;

 private:
  struct Demand {
    DemandRate rate{kDemandWindow};
    std::int64_t used = 0;
    double request_cost = 0;
  };

  MonotonicTime start_;
  std::map<std::string, Demand> demands_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_BUDGET_DEMANDS_H_
