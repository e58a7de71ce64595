// Explains a budget: paid, spent, and where the rest lies.

#ifndef SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_
#define SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "libs/operations/budget_store.h"

namespace turmericwinch {

// The report of a budget whose configured size is `declared`.
boost::json::object BudgetReportJson(const std::string& budget,
                                     std::int64_t declared,
                                     const BudgetState& state);

// The same for a terminal.
std::string BudgetReportText(const std::string& budget,
                             std::int64_t declared,
                             const BudgetState& state);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_REPORT_H_
