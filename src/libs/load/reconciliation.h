// Compares, request by request, what callers got, what targets ran and what
// was billed. Free of sockets, threads and clocks.

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

// All that is compared. `lost_hosts` names the killed entry hosts by address;
// bills that they had not written are no mismatch but are counted for
// themselves. `call_tokens` is the price of a plain call.
struct ReconciliationInput {
  std::vector<CallRecord> records;
  TargetRuns runs;
  PlatformState platform;
  std::map<std::string, std::string> lost_hosts;
  std::int64_t call_tokens = 0;
};

// Sums are tokens. `lost_bills` are requests that a killed host answered and
// had not billed; `left_granted` is what the killed hosts' holders still hold.
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
  std::int64_t left_granted = 0;
  // One sentence for each fault.
  std::vector<std::string> mismatches;
};

Reconciliation Reconcile(const ReconciliationInput& input);

// The result for a terminal.
std::string ReconciliationText(const Reconciliation& result);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_RECONCILIATION_H_
