// What the platform's objects say of all budgets once a run is over.

#ifndef SRC_APPS_MEASURE_BUDGET_PLATFORM_BOOKS_H_
#define SRC_APPS_MEASURE_BUDGET_PLATFORM_BOOKS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "budget/fake_platform.h"

namespace turmericwinch {

// Tokens of one budget. `free` counts what any domain may still draw;
// `outstanding` is at holders, `outstanding_live` at those that live.
struct BookedBudget {
  std::int64_t paid = 0;
  std::int64_t free = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  std::int64_t outstanding_live = 0;
};

// Reads accounts and shards, or the buckets of the policy that checks every
// request. `live` are the holders that live.
std::map<std::string, BookedBudget> BooksOf(const FakePlatform& platform,
                                            const std::set<std::string>& live);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_PLATFORM_BOOKS_H_
