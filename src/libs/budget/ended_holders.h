// Which holders of a failure domain have ended, and who has closed with them.

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

// The end of a holder. `time_ms` is milliseconds of UTC, only for forgetting.
// `closed` once no shard of the domain has a row of it any more.
struct EndedHolder {
  std::int64_t time_ms = 0;
  bool closed = false;
};

// One platform object of a failure domain. Nothing in it is ever taken back
// but by Forget, so it can be read apart from the shards: an end that is
// written here makes no reservation on the holder's tokens any more, nor does
// an end's acknowledgement by a borrower, and all their bills are in segments.
struct EndedHolders {
  std::map<std::string, EndedHolder> ended;
  // By borrower, the ended holders that it has closed with.
  std::map<std::string, std::set<std::string>> acknowledged;

  // Those of `borrowers` that may still spend `lender`'s tokens.
  std::set<std::string> OpenBorrowers(
      const std::string& lender,
      const std::set<std::string>& borrowers) const;
  // Ends that are older than a day at `now_ms` and closed, and what was
  // acknowledged of ends that are not kept. True if anything went.
  bool RemoveExpired(std::int64_t now_ms);
};

std::string ToJson(const EndedHolders& ends);
std::optional<EndedHolders> ParseEndedHolders(std::string_view text,
                                              Reason* reason);

// Name of the object.
std::string EndedHoldersObjectName(std::string_view domain);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_ENDED_HOLDERS_H_
