// Compares, request by request, the answers that callers received, the runs of
// the targets and the bills. Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_LOAD_RECONCILIATION_H_
#define SRC_LIBS_LOAD_RECONCILIATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/load/call_record.h"
#include "libs/load/platform_state.h"
#include "libs/load/target_runs.h"

namespace turmericwinch {

// Input of the comparison. `lost_hosts` holds the names of the killed entry
// hosts by address. Bills that these hosts had not yet written are counted
// separately and are no mismatches. `call_tokens` is the price of a plain call
// in tokens.
struct ReconciliationInput {
  std::vector<CallRecord> records;
  TargetRuns runs;
  PlatformState platform;
  std::map<std::string, std::string> lost_hosts;
  std::int64_t call_tokens = 0;
};

// Counts of requests, runs and bills, and sums of tokens. `billed_unanswered`
// counts the bills of requests with unknown outcome. `lost_bills` counts the
// requests that a killed host answered but had not billed; `lost_bill_tokens`
// is the sum of their tokens. `lost_host_grants` is the sum of the outstanding
// tokens of the killed hosts' holders.
struct Reconciliation {
  std::int64_t requests = 0;
  std::int64_t answered = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t runs = 0;
  std::int64_t bills = 0;
  std::int64_t answered_tokens = 0;
  std::int64_t billed_tokens = 0;
  std::int64_t billed_unanswered = 0;
  std::int64_t lost_bills = 0;
  std::int64_t lost_bill_tokens = 0;
  std::int64_t lost_host_grants = 0;
  // One sentence for each mismatch.
  std::vector<std::string> mismatches;
};

Reconciliation Reconcile(const ReconciliationInput& input);

// Formats the result for a terminal.
std::string FormatReconciliation(const Reconciliation& result);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_RECONCILIATION_H_
