// Decides how a failure domain learns that a holder has ended, acknowledges
// it, and closes the holder's rows. Free of I/O, clocks and threads.

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

// `holder` is this host, empty for a tool; `lender` is set if it lends.
struct HolderClosingParts {
  std::string domain;
  std::string holder;
  Lender* lender = nullptr;
};

// How a turn ended: by holder, what was released of each budget, and the
// borrowers that an ended holder's rows wait for.
struct HolderClosingResult {
  Reason reason;
  std::map<std::string, std::map<std::string, ReleasedTokens>> released;
  std::map<std::string, std::set<std::string>> waits_for;
};

// One turn is Begin, then Next and Take until Next answers nothing. Any host of
// the domain, or a tool, may make it at any time.
class HolderClosing {
 public:
  explicit HolderClosing(HolderClosingParts parts);
  ~HolderClosing();

  // Starts a turn that writes the end of `ending`: each of them must make no
  // reservation any more, and its bills must be in segments, or lost with its
  // process. `closes` closes the rows of all ended holders. `now_ms` is
  // milliseconds of UTC.
  void BeginRound(std::set<std::string> ending,
                  bool closes,
                  std::int64_t now_ms);
  // The next call, or nothing if the turn is over. `ledger` is this host's, or
  // null for a tool.
  std::optional<PlatformCall> NextCall(HostLedger* ledger);
  // Takes the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger* ledger);
  const HolderClosingResult& result() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_CLOSING_H_
