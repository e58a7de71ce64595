#include "apps/measure_budget/grant_host.h"

#include <algorithm>
#include <utility>

#include "libs/budget/budget_account.h"

namespace turmericwinch {

BucketSync& GrantHost::SyncOf(std::uint64_t bucket) {
  std::unique_ptr<BucketSync>& sync = syncs_[bucket];
  if (sync)
    return *sync;
  BucketSyncParts parts;
  parts.bucket = bucket;
  parts.domain = parts_.DomainName();
  parts.holder = parts_.holder;
  parts.setting_of = parts_.setting_of;
  const std::size_t domain = parts_.size.DomainOf(parts_.host);
  parts.hosts_in_domain = [hosts = parts_.size.HostsIn(domain)] {
    return static_cast<int>(hosts);
  };
  parts.lender = lender();
  sync = std::make_unique<BucketSync>(std::move(parts));
  return *sync;
}

void GrantHost::AddToTurn(const GrantRequest& wish) {
  GrantRequests& wishes = wishes_[BucketOf(wish.budget)];
  auto [it, added] = wishes.emplace(wish.budget, wish);
  if (added)
    return;
  it->second.needed = AddSaturated(it->second.needed, wish.needed);
  it->second.smallest = std::min(it->second.smallest, wish.smallest);
  it->second.rate = wish.rate;
  it->second.lent_rate = wish.lent_rate;
}

void GrantHost::Draw() {
  std::set<std::uint64_t> touched;
  for (const GrantRequest& it : ledger_.TakeGrantRequests()) {
    AddToTurn(it);
    touched.insert(BucketOf(it.budget));
  }
  for (std::uint64_t it : touched)
    SyncBucket(it, false, [] {});
}

void GrantHost::SyncBucket(std::uint64_t bucket,
                           bool flush,
                           std::function<void()> done) {
  if (!busy_.insert(bucket).second)
    return done();
  Turn(bucket, flush, std::move(done));
}

void GrantHost::Turn(std::uint64_t bucket,
                     bool flush,
                     std::function<void()> done) {
  auto wanted = std::make_shared<GrantRequests>(std::move(wishes_[bucket]));
  wishes_.erase(bucket);
  AddLoanWishes(bucket, flush, *wanted);
  SyncOf(bucket).BeginRound(
      *wanted, false, flush && lender() && SyncOf(bucket).IsNearlyScarce());
  Step(bucket, wanted, std::move(done));
}

void GrantHost::Step(std::uint64_t bucket,
                     const std::shared_ptr<GrantRequests>& wanted,
                     std::function<void()> done) {
  BucketSync& sync = SyncOf(bucket);
  std::optional<PlatformCall> call = sync.NextCall(ledger_);
  if (call) {
    Call(std::move(*call),
         [this, bucket, wanted, &sync,
          done = std::move(done)](const PlatformAnswer& answer) {
           sync.HandleAnswer(answer, ledger_);
           Step(bucket, wanted, done);
         });
    return;
  }
  Publish(*wanted, sync.result());
  TurnOver(bucket, sync.result());
  GrantRequests left;
  if (AddLoanWishes(bucket, false, left) || wishes_.contains(bucket))
    return Turn(bucket, false, std::move(done));
  busy_.erase(bucket);
  done();
}

void GrantHost::Publish(const GrantRequests& wanted, const SyncResult& result) {
  for (const std::string& it : result.grants)
    Wake(it);
  if (result.reason.code != ResultCode::kOk) {
    for (const auto& [name, wish] : wanted)
      Deny(name, wish.smallest);
    return;
  }
  for (const auto& [name, wish] : result.short_of_tokens)
    Deny(name, wish.smallest);
}

void GrantHost::FlushCounters(std::function<void()> done) {
  std::set<std::uint64_t> dirty;
  for (std::uint64_t it : ledger_.DirtyBuckets())
    dirty.insert(it);
  for (const auto& [bucket, sync] : syncs_) {
    if (sync->NeedsRound())
      dirty.insert(bucket);
  }
  SyncAll(
      std::make_shared<std::vector<std::uint64_t>>(dirty.begin(), dirty.end()),
      std::move(done));
}

void GrantHost::SyncAll(std::shared_ptr<std::vector<std::uint64_t>> buckets,
                        std::function<void()> done) {
  if (buckets->empty())
    return done();
  const std::uint64_t bucket = buckets->back();
  buckets->pop_back();
  SyncBucket(bucket, true, [this, buckets, done = std::move(done)] {
    SyncAll(buckets, done);
  });
}

}  // namespace turmericwinch
