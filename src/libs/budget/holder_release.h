// Ends a holder in one shard.

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

// What one writer's bills prove to be settled: by the holder that is charged,
// then by budget.
using SettledTotals =
    std::map<std::string, std::map<std::string, std::int64_t>>;

// The totals in `bills`, all of `writer`.
SettledTotals SettledIn(const std::string& writer,
                        const std::vector<Bill>& bills);

// Tokens of one budget at a released holder.
struct ReleasedTokens {
  std::int64_t settled = 0;
  std::int64_t freed = 0;
};

// What was released, by budget, or the borrowers that may still spend the
// holder's tokens, so that nothing was.
struct HolderRelease {
  std::map<std::string, ReleasedTokens> released;
  std::set<std::string> waits_for;
};

// Charges what the bills prove and frees the rest of the holder's rows. Does
// so only if the holder has ended and so has, or has closed with it, each
// borrower on its list. `totals` are by writer and were read after `ends`: of
// the holder and of all its borrowers.
HolderRelease ReleaseHolder(DomainShard& shard,
                            const std::string& holder,
                            const EndedHolders& ends,
                            const std::map<std::string, SettledTotals>& totals);

// Returns what was `freed`, by budget, of budgets of which no host of the
// domain holds any. Answers the new totals of these.
std::map<std::string, std::int64_t> ReturnFreed(
    DomainShard& shard,
    const std::map<std::string, std::int64_t>& freed);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_RELEASE_H_
