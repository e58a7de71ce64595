// Plans the next state of one bucket from what was read and what is wanted.

#ifndef SRC_LIBS_BUDGET_BUCKET_PLAN_H_
#define SRC_LIBS_BUDGET_BUCKET_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/budget/bucket_sync.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/host_ledger.h"

namespace turmericwinch {

// A bucket as it was last read. `foreign_returned` is what the shards of other
// domains say to have returned, by budget and domain.
struct BucketState {
  AccountBucket account;
  DomainShard shard;
  std::map<std::string, std::map<std::string, std::int64_t>> foreign_returned;
};

// What to write: the account first, then the shard.
struct BucketPlan {
  AccountBucket account;
  DomainShard shard;
  bool account_changed = false;
  bool shard_changed = false;
  // The shard raises `returned`, which the account does not have yet.
  bool returns = false;
  // The shard ends the holder.
  bool closes = false;
  // This host's counters in `shard`, by budget.
  std::map<std::string, HolderCounters> counters;
  GrantRequests short_of_tokens;
};

// Plans one turn. Changes neither `state` nor `ledger`. A wish is granted in
// part if its smallest request fits.
BucketPlan MakeBucketPlan(const BucketSyncParts& parts,
                          const BucketState& state,
                          const GrantRequests& wishes,
                          bool closing,
                          const HostLedger& ledger);

// Returns tokens that lie idle in another domain's `shard`, at most
// `missing` of each budget, and takes them off `missing`. Any host may do so:
// the write is conditional. True if the shard changed.
bool TakeIdle(const BucketState& state,
              const std::string& domain,
              std::map<std::string, std::int64_t>& missing,
              DomainShard& shard);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUCKET_PLAN_H_
