// Ends a dead holder in one shard.

#ifndef SRC_LIBS_BUDGET_HOLDER_RELEASE_H_
#define SRC_LIBS_BUDGET_HOLDER_RELEASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

// Tokens of one budget at a released holder.
struct ReleasedTokens {
  std::int64_t settled = 0;
  std::int64_t freed = 0;
};

// Takes over what `bills` prove the holder to have settled, then ends it: the
// rest of its grants becomes free. Only safe once its process has ended.
// Answers what was released, by budget; empty if the holder has no row.
std::map<std::string, ReleasedTokens> ReleaseHolder(
    DomainShard& shard,
    const std::string& holder,
    const std::vector<Bill>& bills);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_RELEASE_H_
