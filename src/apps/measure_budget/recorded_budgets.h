// The state of all budgets as recorded in the platform's objects.

#ifndef SRC_APPS_MEASURE_BUDGET_RECORDED_BUDGETS_H_
#define SRC_APPS_MEASURE_BUDGET_RECORDED_BUDGETS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "budget/fake_platform.h"

namespace turmericwinch {

// Tokens of one budget. `free` tokens can still be drawn by any failure domain,
// `outstanding` ones are at holders, and `outstanding_live` ones at live
// holders.
struct RecordedBudget {
  std::int64_t paid = 0;
  std::int64_t free = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  std::int64_t outstanding_live = 0;
};

// Reads accounts and shards, or the buckets of the policy that checks every
// request. `live` names the live holders.
std::map<std::string, RecordedBudget> ReadRecordedBudgets(
    const FakePlatform& platform,
    const std::set<std::string>& live);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_RECORDED_BUDGETS_H_
