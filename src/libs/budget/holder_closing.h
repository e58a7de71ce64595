// Records ended holders of a failure domain, acknowledges their end and closes
// their rows. A state machine without I/O, clocks or threads; the caller makes
// the calls.

#ifndef SRC_LIBS_BUDGET_HOLDER_CLOSING_H_
#define SRC_LIBS_BUDGET_HOLDER_CLOSING_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/base/reason.h"
#include "libs/budget/holder_release.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/lender.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

// `holder` is this host's holder name, empty for a tool. `lender` is set if the
// host lends.
struct HolderClosingParts {
  std::string domain;
  std::string holder;
  Lender* lender = nullptr;
};

// Result of a round. `released` has the tokens released of each budget, by
// holder. `waits_for` has, by ended holder, the holders that may still spend
// its tokens, so that its rows cannot be closed yet.
struct HolderClosingResult {
  Reason reason;
  std::map<std::string, std::map<std::string, ReleasedTokens>> released;
  std::map<std::string, std::set<std::string>> waits_for;
};

// A round is BeginRound, then NextCall and HandleAnswer until NextCall returns
// nothing. Any host of the domain, or a tool, may run a round at any time.
class HolderClosing {
 public:
  explicit HolderClosing(HolderClosingParts parts);
  ~HolderClosing();

  // Starts a round that records the end of the `newly_ended` holders. These
  // must make no more reservations, and their bills must be in segments or lost
  // with their process. If `close_rows`, the rows of all ended holders are
  // closed. `now_ms` is UTC in milliseconds.
  void BeginRound(std::set<std::string> newly_ended,
                  bool close_rows,
                  std::int64_t now_ms);
  // Returns the next call, or nothing once the round is over. `ledger` is this
  // host's, or null for a tool.
  std::optional<PlatformCall> NextCall(HostLedger* ledger);
  // Handles the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger* ledger);
  const HolderClosingResult& result() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_CLOSING_H_
