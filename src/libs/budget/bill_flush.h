// Decides how unconfirmed bills get into segments. Free of I/O.

#ifndef SRC_LIBS_BUDGET_BILL_FLUSH_H_
#define SRC_LIBS_BUDGET_BILL_FLUSH_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/budget/host_ledger.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

// One turn writes all bills that wait, a segment at a time. A segment is named
// by its first bill, so one whose answer was lost is found again, not doubled.
class BillFlush {
 public:
  // `domain` is the failure domain of the ledger's host.
  explicit BillFlush(std::string domain);

  // The next call, or nothing if the turn is over.
  std::optional<PlatformCall> NextCall(HostLedger& ledger);
  // Takes the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger);
  // Why the turn ended: kOk if no bill waits.
  const Reason& result() const { return result_; }

 private:
  std::string domain_;
  std::string segment_;
  std::uint64_t last_sequence_ = 0;
  bool reading_ = false;
  bool over_ = false;
  Reason result_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BILL_FLUSH_H_
