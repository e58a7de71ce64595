// Results of one run of a policy.

#ifndef SRC_APPS_MEASURE_BUDGET_RUN_RESULTS_H_
#define SRC_APPS_MEASURE_BUDGET_RUN_RESULTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "apps/measure_budget/platform_model.h"
#include "apps/measure_budget/refusal_count.h"

namespace turmericwinch {

// Rates refer to the counted time. `overspent` is the largest excess over the
// paid tokens that was spent or could still be spent. `failed_check` describes
// the first check of the recorded tokens that failed; empty if all passed.
struct RunResults {
  std::int64_t overspent = 0;
  RefusalCount all;
  RefusalCount at_end;
  double unusable_percent = 0;
  double counted_seconds = 0;
  PlatformLoad load;
  double mean_bytes_per_second = 0;
  double max_bytes_per_second = 0;
  std::size_t max_memory_bytes = 0;
  int crashes = 0;
  std::int64_t stranded = 0;
  std::string failed_check;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_RUN_RESULTS_H_
