#include "budget/test_host.h"

#include <set>
#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/holder_closing.h"

namespace turmericwinch {

TestHost::TestHost(FakePlatform& platform,
                   const TestBudgets& budgets,
                   std::string domain,
                   std::string holder)
    : ledger(holder),
      lender({holder, [holder] { return "at-" + holder; }, [] { return 2; },
              [](const std::string&) { return 50; }}),
      borrower(holder, [holder] { return "at-" + holder; }),
      domain(std::move(domain)),
      platform_(platform),
      budgets_(budgets),
      closing_({this->domain, holder, &lender}) {}

BucketSync& TestHost::SyncOf(std::uint64_t bucket) {
  std::unique_ptr<BucketSync>& sync = syncs_[bucket];
  if (sync)
    return *sync;
  BucketSyncParts parts;
  parts.bucket = bucket;
  parts.domain = domain;
  parts.holder = ledger.holder();
  parts.hosts_in_domain = [] { return 2; };
  parts.lender = lends ? &lender : nullptr;
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

void TestHost::StartRound(const std::string& budget,
                          std::int64_t tokens,
                          bool closing,
                          bool refresh) {
  sync_ = &SyncOf(BucketOf(budget));
  GrantRequests wishes;
  if (tokens > 0)
    wishes[budget] = {budget, tokens, tokens, rate};
  sync_->BeginRound(std::move(wishes), closing, refresh);
}

bool TestHost::Step() {
  if (!sync_)
    return false;
  if (answer_) {
    sync_->HandleAnswer(*answer_, ledger);
    answer_.reset();
    return true;
  }
  std::optional<PlatformCall> call = sync_->NextCall(ledger);
  if (!call) {
    sync_ = nullptr;
    return false;
  }
  answer_ = platform_.Call(*call);
  return true;
}

SyncResult TestHost::Draw(const std::string& budget, std::int64_t tokens) {
  StartRound(budget, tokens);
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
  while (std::optional<PlatformCall> call = flush.NextCall(ledger))
    flush.HandleAnswer(platform_.Call(*call), ledger);
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
    if (sync->NeedsRound())
      buckets.insert(bucket);
  }
  for (std::uint64_t it : buckets) {
    sync_ = &SyncOf(it);
    sync_->BeginRound({}, closing);
    while (Step()) {
    }
    done = SyncOf(it).result().reason.code == ResultCode::kOk && done;
    done = done && !(closing && SyncOf(it).NeedsRound());
  }
  return done && !(closing && !ledger.HeldBuckets().empty());
}

void TestHost::RequestLoan(const TestHost& from,
                           const std::string& budget,
                           std::int64_t tokens) {
  const std::int64_t own = std::max<std::int64_t>(ledger.Available(budget), 0);
  borrower.AddRequest(from.address(),
                      {budget, tokens - own, tokens - own, rate, 0}, now);
}

std::vector<OutgoingLoanRequest> TestHost::DueLoanRequests() {
  std::vector<OutgoingLoanRequest> asks = borrower.DueRequests(ledger, now);
  for (OutgoingLoanRequest& it : borrower.PendingReports(ledger))
    asks.push_back(std::move(it));
  return asks;
}

void TestHost::StartLenderRound() {
  std::map<std::uint64_t, GrantRequests> wishes;
  for (GrantRequest& it : lender.PendingGrantRequests(ledger, now))
    wishes[BucketOf(it.budget)][it.budget] = it;
  for (std::uint64_t it : lender.BucketsToList())
    wishes[it];
  if (wishes.empty())
    return;
  lender_bucket_ = wishes.begin()->first;
  sync_ = lender_sync_ = &SyncOf(lender_bucket_);
  sync_->BeginRound(wishes.begin()->second, false);
}

std::vector<OutgoingLoanResponse> TestHost::FinishLenderRound() {
  std::vector<OutgoingLoanResponse> answers = lender.RetryPending(ledger, now);
  if (!lender_sync_)
    return answers;
  const SyncResult& result = std::exchange(lender_sync_, nullptr)->result();
  const auto add = [&](std::vector<OutgoingLoanResponse> more) {
    answers.insert(answers.end(), more.begin(), more.end());
  };
  if (result.reason.code != ResultCode::kOk)
    add(lender.DenyUnreachable(lender_bucket_));
  for (const auto& [name, wish] : result.short_of_tokens)
    add(lender.DenyShort(name, ledger));
  return answers;
}

std::vector<OutgoingLoanResponse> TestHost::DrawForBorrowers() {
  std::vector<OutgoingLoanResponse> answers;
  bool over = false;
  while (!over) {
    StartLenderRound();
    over = !lender_sync_;
    while (Step()) {
    }
    for (OutgoingLoanResponse& it : FinishLenderRound())
      answers.push_back(std::move(it));
  }
  return answers;
}

bool TestHost::Borrow(TestHost& from,
                      const std::string& budget,
                      std::int64_t tokens) {
  RequestLoan(from, budget, tokens);
  Exchange(from);
  return ledger.AvailableFrom(from.ledger.holder(), budget) >= tokens;
}

void TestHost::Exchange(TestHost& from) {
  for (const OutgoingLoanRequest& it : DueLoanRequests()) {
    if (it.address == from.address())
      borrower.HandleResponse(
          from.lender.HandleRequest(it.request, from.ledger, from.now).response,
          ledger);
  }
  for (const OutgoingLoanResponse& it : from.DrawForBorrowers()) {
    if (it.address == address())
      borrower.HandleResponse(it.response, ledger);
  }
}

HolderClosingResult TestHost::RunClosingRound(bool ends_itself) {
  std::set<std::string> ending;
  if (ends_itself)
    ending.insert(ledger.holder());
  closing_.BeginRound(ending, true, 0);
  while (std::optional<PlatformCall> call = closing_.NextCall(&ledger))
    closing_.HandleAnswer(platform_.Call(*call), &ledger);
  return closing_.result();
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
      ParseAccountBucket(object->second.value, &reason)->budgets[budget];
  figures.paid = account.Paid();
  figures.free = account.Free();
  for (const auto& [domain, it] : account.domains) {
    object = platform.objects.find(ShardObjectName(domain, bucket));
    if (object == platform.objects.end())
      continue;
    ShardBudget shard =
        ParseDomainShard(object->second.value, &reason)->budgets[budget];
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
    const std::vector<Bill> bills = ParseBills(object.value, &reason).value();
    for (const Bill& it : bills)
      ++requests[it.request_id];
  }
  return requests;
}

std::set<std::string> Release(FakePlatform& platform,
                              const std::string& domain,
                              const std::string& holder) {
  HolderClosing closing({domain, "", nullptr});
  closing.BeginRound({holder}, true, 0);
  while (std::optional<PlatformCall> call = closing.NextCall(nullptr))
    closing.HandleAnswer(platform.Call(*call), nullptr);
  auto it = closing.result().waits_for.find(holder);
  return it == closing.result().waits_for.end() ? std::set<std::string>()
                                                : it->second;
}

}  // namespace turmericwinch
