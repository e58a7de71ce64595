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

void GrantHost::AddToRound(const GrantRequest& request) {
  GrantRequests& requests = requests_[BucketOf(request.budget)];
  auto [it, added] = requests.emplace(request.budget, request);
  if (added)
    return;
  it->second.needed = AddSaturated(it->second.needed, request.needed);
  it->second.smallest = std::min(it->second.smallest, request.smallest);
  it->second.rate = request.rate;
  it->second.lent_rate = request.lent_rate;
}

void GrantHost::Draw() {
  std::set<std::uint64_t> buckets;
  for (const GrantRequest& it : ledger_.TakeGrantRequests()) {
    AddToRound(it);
    buckets.insert(BucketOf(it.budget));
  }
  for (std::uint64_t it : buckets)
    SyncBucket(it, false, [] {});
}

void GrantHost::SyncBucket(std::uint64_t bucket,
                           bool flush,
                           std::function<void()> done) {
  if (!busy_.insert(bucket).second)
    return done();
  RunRound(bucket, flush, std::move(done));
}

void GrantHost::RunRound(std::uint64_t bucket,
                         bool flush,
                         std::function<void()> done) {
  auto requested =
      std::make_shared<GrantRequests>(std::move(requests_[bucket]));
  requests_.erase(bucket);
  AddLoanRequests(bucket, flush, *requested);
  SyncOf(bucket).BeginRound(
      *requested, false, flush && lender() && SyncOf(bucket).IsNearlyScarce());
  Step(bucket, requested, std::move(done));
}

void GrantHost::Step(std::uint64_t bucket,
                     const std::shared_ptr<GrantRequests>& requested,
                     std::function<void()> done) {
  BucketSync& sync = SyncOf(bucket);
  std::optional<PlatformCall> call = sync.NextCall(ledger_);
  if (call) {
    Call(std::move(*call),
         [this, bucket, requested, &sync,
          done = std::move(done)](const PlatformAnswer& answer) {
           sync.HandleAnswer(answer, ledger_);
           Step(bucket, requested, done);
         });
    return;
  }
  PublishResult(*requested, sync.result());
  OnRoundEnd(bucket, sync.result());
  GrantRequests remaining;
  if (AddLoanRequests(bucket, false, remaining) || requests_.contains(bucket))
    return RunRound(bucket, false, std::move(done));
  busy_.erase(bucket);
  done();
}

void GrantHost::PublishResult(const GrantRequests& requested,
                              const SyncResult& result) {
  for (const std::string& it : result.grants)
    Wake(it);
  if (result.reason.code != ResultCode::kOk) {
    for (const auto& [name, request] : requested)
      Deny(name, request.smallest);
    return;
  }
  for (const auto& [name, request] : result.short_of_tokens)
    Deny(name, request.smallest);
}

void GrantHost::FlushCounters(std::function<void()> done) {
  std::set<std::uint64_t> buckets;
  for (std::uint64_t it : ledger_.DirtyBuckets())
    buckets.insert(it);
  for (const auto& [bucket, sync] : syncs_) {
    if (sync->NeedsRound())
      buckets.insert(bucket);
  }
  SyncAll(std::make_shared<std::vector<std::uint64_t>>(buckets.begin(),
                                                       buckets.end()),
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
