// Reports how many tokens of a budget are paid, spent, granted and free.

#ifndef SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_
#define SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "libs/operations/budget_store.h"

namespace turmericwinch {

// Report of `budget` as JSON. `declared` is its size in the configuration.
boost::json::object BudgetReportJson(const std::string& budget,
                                     std::int64_t declared,
                                     const BudgetState& state);

// The same report as tables for a terminal.
std::string BudgetReportText(const std::string& budget,
                             std::int64_t declared,
                             const BudgetState& state);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_
