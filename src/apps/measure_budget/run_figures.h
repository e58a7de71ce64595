// What one run of a policy measured.

#ifndef SRC_APPS_MEASURE_BUDGET_RUN_FIGURES_H_
#define SRC_APPS_MEASURE_BUDGET_RUN_FIGURES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "apps/measure_budget/platform_model.h"
#include "apps/measure_budget/refusal_count.h"

namespace turmericwinch {

// Rates are over the counted time. `overspent` is the most that was spent, or
// could still be, above what was paid. `violated` is the first sum that does
// not come out, or empty.
struct RunFigures {
  std::int64_t overspent = 0;
  RefusalCount all;
  RefusalCount at_end;
  double unusable_percent = 0;
  double counted_seconds = 0;
  PlatformLoad load;
  double mean_bytes_s = 0;
  double most_bytes_s = 0;
  std::size_t most_memory_bytes = 0;
  int deaths = 0;
  std::int64_t stranded = 0;
  std::string violated;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_RUN_FIGURES_H_
