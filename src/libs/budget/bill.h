// The bill of one request.

#ifndef SRC_LIBS_BUDGET_BILL_H_
#define SRC_LIBS_BUDGET_BILL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// `sequence` counts the bills of one incarnation of a host, from 1. `time_ms`
// is milliseconds of UTC, for people only. Tokens are what the team pays.
// `charged_to` is the holder that lent the tokens, empty if the host's own row
// stands behind them. `settled_total` is what the incarnation settled of the
// budget on that row up to and with this bill, so that merging any subset of
// bills by maximum never counts one twice.
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

// Bills of one segment as JSON text, and back.
std::string ToJson(const std::vector<Bill>& bills);
std::optional<std::vector<Bill>> ParseBills(std::string_view text,
                                            Reason* reason);

// Name of the segment whose first bill is `first_sequence`. The same bills
// always get the same name, so a repeated write is found again.
std::string BillSegmentName(std::string_view domain,
                            std::string_view holder,
                            std::uint64_t first_sequence);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BILL_H_
