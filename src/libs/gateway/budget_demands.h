// Demand for each budget at this host. Free of clocks and I/O.

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
  // Demand began at `start`.
  explicit BudgetDemands(MonotonicTime start) : start_(start) {}

  // `used` is what requests and borrowers took of the budget in all.
  void NoteUsed(const std::string& budget,
                std::int64_t used,
                MonotonicTime now);
  // A request cost `tokens`.
  void NoteCost(const std::string& budget, std::int64_t tokens);
  // Tokens a second, averaged over kFleetRateWindow and corrected for the time
  // before the start.
  double Rate(const std::string& budget, MonotonicTime now) const;
  // Usual cost of a request in tokens, 0 before the first.
  double RequestCost(const std::string& budget) const;

 private:
  struct Demand {
    DemandRate rate{kFleetRateWindow};
    std::int64_t used = 0;
    double request = 0;
  };

  MonotonicTime start_;
  std::map<std::string, Demand> demands_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_BUDGET_DEMANDS_H_
