// Plans the next state of one bucket from its stored state and the host's grant
// requests.

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

// A bucket as last read. `foreign_returned` holds the return totals read from
// the shards of other domains, by budget and domain.
struct BucketState {
  AccountBucket account;
  DomainShard shard;
  std::map<std::string, std::map<std::string, std::int64_t>> foreign_returned;
};

// The planned state. The account must be written before the shard.
struct BucketPlan {
  AccountBucket account;
  DomainShard shard;
  bool account_changed = false;
  bool shard_changed = false;
  // The planned shard returns tokens that the planned account does not include
  // yet.
  bool returns_tokens = false;
  // The planned shard closes this host's holder.
  bool closes_holder = false;
  // This host's counters in `shard`, by budget.
  std::map<std::string, HolderCounters> counters;
  GrantRequests short_of_tokens;
};

// Plans one sync round. Changes neither `state` nor `ledger`. A grant request
// is granted in part if at least its `smallest` tokens are free. `closing`
// closes the holder if none of its tokens are outstanding.
BucketPlan MakeBucketPlan(const BucketSyncParts& parts,
                          const BucketState& state,
                          const GrantRequests& requests,
                          bool closing,
                          const HostLedger& ledger);

// Returns free tokens of another domain's `shard` to the account, at most
// `missing` of each budget, and subtracts them from `missing`. Safe from any
// host, since the shard is written conditionally. True if the shard changed.
bool ReturnIdleTokens(const BucketState& state,
                      const std::string& domain,
                      std::map<std::string, std::int64_t>& missing,
                      DomainShard& shard);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUCKET_PLAN_H_
