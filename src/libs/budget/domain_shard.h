// The tokens that the hosts of one failure domain hold and spent of the budgets
// of one bucket. One platform object per bucket and domain, so that writes of
// different domains do not conflict.

#ifndef SRC_LIBS_BUDGET_DOMAIN_SHARD_H_
#define SRC_LIBS_BUDGET_DOMAIN_SHARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "libs/base/reason.h"

namespace turmericwinch {

// Tokens of one budget at one holder; a holder is an incarnation of a host.
// Counters only grow and only their holder raises them, so merging by maximum
// makes every write idempotent: a repeated or late write, or one whose answer
// was lost, counts once.
struct HolderCounters {
  std::int64_t granted = 0;
  std::int64_t settled = 0;
  std::int64_t given_back = 0;
  // The part of `settled` that was billed by borrowers that are no longer
  // listed.
  std::int64_t unlisted = 0;

  // Tokens that the holder may still spend or has in use.
  std::int64_t Outstanding() const { return granted - settled - given_back; }
  bool operator==(const HolderCounters&) const = default;
};

// One budget in one domain. `settled_retired` is what closed holders spent.
// `returned` is what the domain returned to the shared account in all.
struct ShardBudget {
  std::int64_t returned = 0;
  std::int64_t settled_retired = 0;
  std::map<std::string, HolderCounters> holders;

  std::int64_t Spent() const;
  std::int64_t Outstanding() const;
  // Tokens out of the domain's `allocated` ones that no holder has.
  std::int64_t Free(std::int64_t allocated) const;
};

// All budgets of one bucket in one domain. `borrowers` lists by lender the
// holders that may have tokens of the lender's rows. A borrower is listed
// before its first loan, so a holder that is not listed has no borrowed tokens.
struct DomainShard {
  std::map<std::string, ShardBudget> budgets;
  std::map<std::string, std::set<std::string>> borrowers;

  // Whether `holder` has a row or a borrower list.
  bool HasHolder(const std::string& holder) const;
};

std::string ToJson(const DomainShard& shard);
std::optional<DomainShard> ParseDomainShard(std::string_view text,
                                            Reason* reason);

// Raises `holder`'s counters to at least `counters`; `granted` rises by no more
// than the domain's free tokens out of `allocated`. Returns the new counters.
HolderCounters MergeHolder(ShardBudget& budget,
                           const std::string& holder,
                           const HolderCounters& counters,
                           std::int64_t allocated);

// Raises the holder's settled tokens to what its bills prove. Frees no tokens,
// so it is safe whether or not the holder has ended.
void MergeSettled(ShardBudget& budget,
                  const std::string& holder,
                  std::int64_t settled_total);

// Closes a holder: settled tokens stay spent, outstanding tokens become free
// and the row is removed. No mark of the closing is stored: a holder detects
// that it was closed by the absence of a row that the platform had confirmed.
void CloseHolder(ShardBudget& budget, const std::string& holder);
// Closes the holder in all budgets and removes its borrower list.
void CloseHolder(DomainShard& shard, const std::string& holder);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_DOMAIN_SHARD_H_
