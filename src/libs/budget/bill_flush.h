// Writes unconfirmed bills to segments. A state machine without I/O; the caller
// makes the calls.

#ifndef SRC_LIBS_BUDGET_BILL_FLUSH_H_
#define SRC_LIBS_BUDGET_BILL_FLUSH_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/budget/host_ledger.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

// Writes all unconfirmed bills, one segment at a time. A segment is named after
// its first bill: if the answer to a write was lost, the repeated write finds
// the existing segment instead of writing the bills twice.
class BillFlush {
 public:
  // `domain` is the failure domain of the ledger's host.
  explicit BillFlush(std::string domain);

  // Returns the next call, or nothing once the flush is done.
  std::optional<PlatformCall> NextCall(HostLedger& ledger);
  // Handles the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger);
  // Result of the flush; kOk if no unconfirmed bill is left.
  const Reason& result() const { return result_; }

 private:
  std::string domain_;
  std::string segment_name_;
  std::uint64_t last_sequence_ = 0;
  bool reading_existing_ = false;
  bool done_ = false;
  Reason result_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BILL_FLUSH_H_
