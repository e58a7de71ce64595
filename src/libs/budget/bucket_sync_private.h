// State of a BucketSync.

#ifndef SRC_LIBS_BUDGET_BUCKET_SYNC_PRIVATE_H_
#define SRC_LIBS_BUDGET_BUCKET_SYNC_PRIVATE_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/budget/bucket_plan.h"
#include "libs/budget/bucket_sync.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

enum class BucketSyncPhase {
  kLoadAccount,
  kCreateAccount,
  kLoadShard,
  kCreateShard,
  kPlan,
  kWriteAccount,
  kWriteShard,
  kLoadForeign,
  kWriteForeign,
  kDone,
};

class BucketSync::Private {
 public:
  void Plan(HostLedger& ledger);
  void AdoptGrants(HostLedger& ledger);
  void ConfirmBorrowerList(const DomainShard& shard);
  void GiveBackScarceTokens(HostLedger& ledger);
  bool IsClosed(const HostLedger& ledger) const;
  void StartForeignSearch();
  void NextForeignShard();
  void HandleFailure(const Reason& reason);
  void HandleForeignAnswer(const PlatformAnswer& answer);
  void HandleShardWritten(HostLedger& ledger);
  void Restart(std::chrono::milliseconds retry_pause);
  void End(Reason reason);
  PlatformCall Call(PlatformVerb verb, std::string name) const;
  std::string AccountName() const { return AccountObjectName(parts.bucket); }
  std::string ShardName(const std::string& domain) const {
    return ShardObjectName(domain, parts.bucket);
  }

  BucketSyncParts parts;
  BucketSyncPhase phase = BucketSyncPhase::kDone;
  BucketState state;
  StoreVersion account_version;
  StoreVersion shard_version;
  bool state_current = false;
  bool needs_round = false;
  // State of the current round.
  GrantRequests requests;
  bool closing = false;
  bool loaded_this_round = false;
  bool foreign_searched = false;
  int attempts = 0;
  std::chrono::milliseconds pause{0};
  BucketPlan plan;
  std::map<std::string, std::int64_t> missing;
  std::vector<std::string> foreign_domains;
  DomainShard foreign_shard;
  StoreVersion foreign_version;
  SyncResult result;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUCKET_SYNC_PRIVATE_H_
