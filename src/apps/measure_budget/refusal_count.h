// Counts the refused requests among those that a perfect ledger accepts.

#ifndef SRC_APPS_MEASURE_BUDGET_REFUSAL_COUNT_H_
#define SRC_APPS_MEASURE_BUDGET_REFUSAL_COUNT_H_

#include <cstdint>

namespace turmericwinch {

struct RefusalCount {
  std::uint64_t acceptable = 0;
  std::uint64_t refused = 0;

  double Percent() const {
    return acceptable == 0 ? 0
                           : 100.0 * static_cast<double>(refused) /
                                 static_cast<double>(acceptable);
  }
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_REFUSAL_COUNT_H_
