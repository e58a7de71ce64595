// Releases the tokens of an ended holder in one shard.

#ifndef SRC_LIBS_BUDGET_HOLDER_RELEASE_H_
#define SRC_LIBS_BUDGET_HOLDER_RELEASE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/ended_holders.h"

namespace turmericwinch {

// Totals that one writer's bills prove to be settled, by charged holder and
// budget.
using SettledTotals =
    std::map<std::string, std::map<std::string, std::int64_t>>;

// Returns the totals in `bills`, all of which `writer` wrote.
SettledTotals CollectSettledTotals(const std::string& writer,
                                   const std::vector<Bill>& bills);

// Tokens of one budget that a released holder settled and that became free.
struct ReleasedTokens {
  std::int64_t settled = 0;
  std::int64_t freed = 0;
};

// Result of a release. `released` is by budget. `waits_for` are the holders
// that may still spend the tokens: the holder itself or its borrowers; nothing
// was released unless it is empty.
struct HolderRelease {
  std::map<std::string, ReleasedTokens> released;
  std::set<std::string> waits_for;
};

// Charges what the bills prove and frees the rest of the holder's rows, but
// only if the holder has ended and each borrower on its list has ended or has
// acknowledged the end. `totals`, by writer, must cover the holder and all its
// borrowers and must have been read after `ends`.
HolderRelease ReleaseHolder(DomainShard& shard,
                            const std::string& holder,
                            const EndedHolders& ends,
                            const std::map<std::string, SettledTotals>& totals);

// Returns the `freed` tokens, by budget, to the account for those budgets of
// which no host of the domain holds tokens. Answers the new return totals of
// these budgets.
std::map<std::string, std::int64_t> ReturnFreedTokens(
    DomainShard& shard,
    const std::map<std::string, std::int64_t>& freed);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_RELEASE_H_
