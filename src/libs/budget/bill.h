// The bill of one request, and the JSON of the segments that bills are stored
// in.

#ifndef SRC_LIBS_BUDGET_BILL_H_
#define SRC_LIBS_BUDGET_BILL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// `sequence` numbers the bills of one incarnation of a host, from 1. `tokens`
// is what the team pays. `time_ms` is UTC in milliseconds and informational
// only. `charged_to` is the holder that lent the tokens; empty if they came
// from the host's own row. `settled_total` is the sum that the incarnation
// settled of the budget on the charged row, including this bill. Merging any
// subset of bills by the maximum of these totals never counts a bill twice.
struct Bill {
  std::uint64_t sequence = 0;
  std::string request_id;
  std::string budget;
  std::string team;
  std::string service;
  std::int64_t tokens = 0;
  std::int64_t time_ms = 0;
  std::int64_t settled_total = 0;
  std::string charged_to;
};

// Converts the bills of one segment to JSON text and back.
std::string ToJson(const std::vector<Bill>& bills);
std::optional<std::vector<Bill>> ParseBills(std::string_view text,
                                            Reason* reason);

// Object name of the segment whose first bill has `first_sequence`. The name
// depends only on the first bill, so a repeated write of the same segment finds
// the first one instead of creating a second.
std::string BillSegmentName(std::string_view domain,
                            std::string_view holder,
                            std::uint64_t first_sequence);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BILL_H_
