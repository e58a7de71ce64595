#include "budget/test_host.h"

#include <set>
#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/holder_release.h"

namespace turmericwinch {

TestHost::TestHost(FakePlatform& platform,
                   const TestBudgets& budgets,
                   std::string domain,
                   std::string holder)
    : ledger(std::move(holder)),
      domain(std::move(domain)),
      platform_(platform),
      budgets_(budgets) {}

BucketSync& TestHost::SyncOf(std::uint64_t bucket) {
  std::unique_ptr<BucketSync>& sync = syncs_[bucket];
  if (sync)
    return *sync;
  BucketSyncParts parts;
  parts.bucket = bucket;
  parts.domain = domain;
  parts.holder = ledger.holder();
  parts.hosts_in_domain = [] { return 2; };
  parts.setting_of =
      [this](const std::string& name) -> std::optional<BudgetSetting> {
    auto it = budgets_.find(name);
    if (it == budgets_.end())
      return std::nullopt;
    return it->second;
  };
  sync = std::make_unique<BucketSync>(std::move(parts));
  return *sync;
}

void TestHost::StartTurn(const std::string& budget,
                         std::int64_t tokens,
                         bool closing) {
  sync_ = &SyncOf(BucketOf(budget));
  GrantWishes wishes;
  if (tokens > 0)
    wishes[budget] = {budget, tokens, tokens, rate};
  sync_->Begin(std::move(wishes), closing);
}

bool TestHost::Step() {
  if (!sync_)
    return false;
  if (answer_) {
    sync_->Take(*answer_, ledger);
    answer_.reset();
    return true;
  }
  std::optional<PlatformCall> call = sync_->Next(ledger);
  if (!call) {
    sync_ = nullptr;
    return false;
  }
  answer_ = platform_.Call(*call);
  return true;
}

SyncResult TestHost::Draw(const std::string& budget, std::int64_t tokens) {
  StartTurn(budget, tokens);
  BucketSync* sync = sync_;
  while (Step()) {
  }
  return sync->result();
}

bool TestHost::Settle(std::uint64_t reservation,
                      std::int64_t tokens,
                      const std::string& request_id) {
  Bill bill;
  bill.request_id = request_id;
  bill.tokens = tokens;
  return ledger.Settle(reservation, bill, now).has_value();
}

bool TestHost::Spend(const std::string& budget, std::int64_t tokens) {
  Reservation reservation = ledger.Reserve(budget, tokens, now);
  if (reservation.outcome == ReserveOutcome::kNeedsGrant) {
    Draw(budget, tokens - ledger.Available(budget));
    reservation = ledger.Reserve(budget, tokens, now);
  }
  if (reservation.outcome != ReserveOutcome::kReserved)
    return false;
  return Settle(reservation.id, tokens,
                ledger.holder() + "-" + std::to_string(next_request_++));
}

bool TestHost::FlushBills() {
  BillFlush flush(domain);
  while (std::optional<PlatformCall> call = flush.Next(ledger))
    flush.Take(platform_.Call(*call), ledger);
  return flush.result().code == ResultCode::kOk;
}

bool TestHost::Flush(bool closing) {
  while (Step()) {
  }
  bool done = FlushBills();
  if (closing && !done)
    return false;
  std::set<std::uint64_t> buckets;
  for (std::uint64_t it :
       closing ? ledger.HeldBuckets() : ledger.DirtyBuckets())
    buckets.insert(it);
  for (const auto& [bucket, sync] : syncs_) {
    if (sync->NeedsTurn())
      buckets.insert(bucket);
  }
  for (std::uint64_t it : buckets) {
    sync_ = &SyncOf(it);
    sync_->Begin({}, closing);
    while (Step()) {
    }
    done = SyncOf(it).result().reason.code == ResultCode::kOk && done;
    done = done && !(closing && SyncOf(it).NeedsTurn());
  }
  return done && !(closing && !ledger.HeldBuckets().empty());
}

PlatformFigures FiguresOf(const FakePlatform& platform,
                          const std::string& budget) {
  const std::uint64_t bucket = BucketOf(budget);
  Reason reason;
  PlatformFigures figures;
  auto object = platform.objects.find(AccountObjectName(bucket));
  if (object == platform.objects.end())
    return figures;
  BudgetAccount account =
      AccountBucketOf(object->second.value, &reason)->budgets[budget];
  figures.paid = account.Paid();
  figures.free = account.Free();
  for (const auto& [domain, it] : account.domains) {
    object = platform.objects.find(ShardObjectName(domain, bucket));
    if (object == platform.objects.end())
      continue;
    ShardBudget shard =
        DomainShardOf(object->second.value, &reason)->budgets[budget];
    figures.spent += shard.Spent();
    figures.outstanding += shard.Outstanding();
    figures.free += shard.Free(it.allocated) + shard.returned - it.returned;
  }
  return figures;
}

std::map<std::string, int> BilledRequests(const FakePlatform& platform) {
  std::map<std::string, int> requests;
  Reason reason;
  for (const auto& [name, object] : platform.objects) {
    if (!name.starts_with(kBillPrefix))
      continue;
    const std::vector<Bill> bills = BillsOf(object.value, &reason).value();
    for (const Bill& it : bills)
      ++requests[it.request_id];
  }
  return requests;
}

void Release(FakePlatform& platform,
             const std::string& domain,
             const std::string& holder) {
  Reason reason;
  std::vector<Bill> bills;
  const std::string prefix = kBillPrefix + domain + "-" + holder + "-";
  for (const auto& [name, object] : platform.objects) {
    if (!name.starts_with(prefix))
      continue;
    const std::vector<Bill> found = BillsOf(object.value, &reason).value();
    bills.insert(bills.end(), found.begin(), found.end());
  }
  for (const auto& [name, object] : platform.objects) {
    if (!name.starts_with(kShardPrefix + domain + "-"))
      continue;
    DomainShard shard = *DomainShardOf(object.value, &reason);
    if (ReleaseHolder(shard, holder, bills).empty())
      continue;
    platform.Call(
        {PlatformVerb::kUpdate, name, object.version, ToJson(shard), {}});
  }
}

}  // namespace turmericwinch
