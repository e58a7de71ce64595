// The search for free tokens in the shards of other domains.

#include <utility>

#include "libs/budget/bucket_sync_private.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/grant_planner.h"

namespace turmericwinch {

namespace {

using Phase = BucketSyncPhase;

}  // namespace

// Starts to look for free tokens in the shards of the other domains.
void BucketSync::Private::StartForeignSearch() {
  foreign_searched = true;
  missing.clear();
  foreign_domains.clear();
  for (const auto& [name, request] : plan.short_of_tokens) {
    missing[name] = request.needed;
    for (const auto& [domain, it] : state.account.budgets[name].domains) {
      if (domain != parts.domain && it.allocated > it.returned &&
          std::find(foreign_domains.begin(), foreign_domains.end(), domain) ==
              foreign_domains.end())
        foreign_domains.push_back(domain);
    }
  }
  phase = foreign_domains.empty() ? Phase::kPlan : Phase::kLoadForeign;
}

void BucketSync::Private::NextForeignShard() {
  foreign_domains.pop_back();
  phase = foreign_domains.empty() ? Phase::kPlan : Phase::kLoadForeign;
}

// Skips the shard of another domain that cannot be read or written now; the
// next round tries it again.
void BucketSync::Private::HandleForeignAnswer(const PlatformAnswer& answer) {
  const std::string& domain = foreign_domains.back();
  const ResultCode code = answer.reason.code;
  if (phase == Phase::kWriteForeign && NeedsReread(code) &&
      ++attempts < kMaxWriteAttempts) {
    pause = kWriteRetryPause * attempts;
    phase = Phase::kLoadForeign;
    return;
  }
  if (code != ResultCode::kOk) {
    result.complete &= code == ResultCode::kPlatformNotFound;
    return NextForeignShard();
  }
  if (phase == Phase::kLoadForeign) {
    Reason ignored;
    std::optional<DomainShard> shard = ParseDomainShard(answer.value, &ignored);
    if (!shard)
      return NextForeignShard();
    foreign_shard = std::move(*shard);
    foreign_version = answer.version;
    if (ReturnIdleTokens(state, domain, missing, foreign_shard)) {
      phase = Phase::kWriteForeign;
      return;
    }
  }
  for (const auto& [name, tokens] : missing) {
    auto it = foreign_shard.budgets.find(name);
    if (it != foreign_shard.budgets.end())
      state.foreign_returned[name][domain] = it->second.returned;
  }
  NextForeignShard();
}

}  // namespace turmericwinch
