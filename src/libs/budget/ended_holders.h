// The holders of a failure domain that have ended, and the borrowers that have
// acknowledged each end.

#ifndef SRC_LIBS_BUDGET_ENDED_HOLDERS_H_
#define SRC_LIBS_BUDGET_ENDED_HOLDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "libs/base/reason.h"

namespace turmericwinch {

// The end of a holder. `time_ms` is UTC in milliseconds, used only to expire
// the record. `closed` is set once no shard of the domain has a row of the
// holder.
struct EndedHolder {
  std::int64_t time_ms = 0;
  bool closed = false;
};

// One platform object of a failure domain. Entries are removed only by
// RemoveExpired, so the object can be read separately from the shards. A holder
// that is recorded as ended, or a borrower that acknowledged the end, makes no
// more reservations on the holder's tokens, and its bills for them are in
// segments.
struct EndedHolders {
  std::map<std::string, EndedHolder> ended;
  // By borrower, the ended holders that the borrower has acknowledged.
  std::map<std::string, std::set<std::string>> acknowledged;

  // Returns those of `borrowers` that may still spend `lender`'s tokens.
  std::set<std::string> OpenBorrowers(
      const std::string& lender,
      const std::set<std::string>& borrowers) const;
  // Removes closed ends that are older than kEndedHolderRetention at `now_ms`,
  // and acknowledgements of ends that are closed or not recorded any more. True
  // if anything was removed.
  bool RemoveExpired(std::int64_t now_ms);
};

std::string ToJson(const EndedHolders& ends);
std::optional<EndedHolders> ParseEndedHolders(std::string_view text,
                                              Reason* reason);

// Name of the object with the ended holders of `domain`.
std::string EndedHoldersObjectName(std::string_view domain);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_ENDED_HOLDERS_H_
