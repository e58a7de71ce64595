// What the hosts of one failure domain hold and spent of the budgets of one
// bucket. One platform object per bucket and domain, so domains do not contend.

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

// Tokens of one budget at one holder, an incarnation of a host. Each counter
// only grows and only its holder raises it, so merging by maximum makes every
// write idempotent: a resend, a late write or a lost answer counts once.
struct HolderCounters {
  std::int64_t granted = 0;
  std::int64_t settled = 0;
  std::int64_t given_back = 0;
  // The part of `settled` that borrowers billed which are not listed any more.
  std::int64_t unlisted = 0;

  // Tokens that the holder may still spend or has in use.
  std::int64_t Outstanding() const { return granted - settled - given_back; }
  bool operator==(const HolderCounters&) const = default;
};

// One budget in one domain. `settled_retired` is what retired holders spent;
// `returned` what the domain gave back to the shared account in all.
struct ShardBudget {
  std::int64_t returned = 0;
  std::int64_t settled_retired = 0;
  std::map<std::string, HolderCounters> holders;

  std::int64_t Spent() const;
  std::int64_t Outstanding() const;
  // Tokens of `allocated` that no holder has.
  std::int64_t Free(std::int64_t allocated) const;
};

// All budgets of one bucket in one domain. `borrowers` lists by lender the
// holders that may have tokens of its rows: each is listed before the first
// loan to it, so who is not listed has none.
struct DomainShard {
  std::map<std::string, ShardBudget> budgets;
  std::map<std::string, std::set<std::string>> borrowers;

  // Whether `holder` has a row or a list of borrowers.
  bool HasHolder(const std::string& holder) const;
};

std::string ToJson(const DomainShard& shard);
std::optional<DomainShard> ParseDomainShard(std::string_view text,
                                            Reason* reason);

// Raises `holder`'s counters to at least `counters`, but `granted` only as far
// as the domain has free tokens of `allocated`. Answers the counters as they
// stand then.
HolderCounters MergeHolder(ShardBudget& budget,
                           const std::string& holder,
                           const HolderCounters& counters,
                           std::int64_t allocated);

// Takes what the holder's bills prove it to have settled. Frees nothing, so it
// is safe whether or not the holder lives.
void MergeSettled(ShardBudget& budget,
                  const std::string& holder,
                  std::int64_t settled_total);

// Ends a holder: what it settled stays spent, what was outstanding becomes
// free, its row is removed. A holder that finds a row missing which the
// platform had confirmed knows by that that it was closed; no mark is kept.
void CloseHolder(ShardBudget& budget, const std::string& holder);
// The same in all budgets; its list of borrowers goes too.
void CloseHolder(DomainShard& shard, const std::string& holder);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_DOMAIN_SHARD_H_
