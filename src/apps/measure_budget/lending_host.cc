#include "apps/measure_budget/lending_host.h"

#include <algorithm>
#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

LendingHost::LendingHost(HostParts parts)
    : GrantHost(std::move(parts)),
      lender_(MakeLenderParts()),
      borrower_(parts_.holder,
                [host = parts_.host] { return PeerModel::AddressOf(host); }) {}

LenderParts LendingHost::MakeLenderParts() const {
  LenderParts lender;
  lender.holder = parts_.holder;
  lender.address = [host = parts_.host] { return PeerModel::AddressOf(host); };
  const std::size_t domain = parts_.size.DomainOf(parts_.host);
  lender.hosts_in_domain = [hosts = parts_.size.HostsIn(domain)] {
    return static_cast<int>(hosts);
  };
  lender.reserve_percent_of = [](const std::string&) {
    return BudgetSetting().reserve_percent;
  };
  return lender;
}

bool LendingHost::IsLenderFor(std::uint64_t bucket) const {
  return parts_.peers->LenderHost(parts_.size.DomainOf(parts_.host), bucket) ==
         parts_.host;
}

// The largest amount that one source has, because a reservation takes its
// tokens from a single source.
std::int64_t LendingHost::Available(const std::string& budget) const {
  std::int64_t max_available = ledger_.Available(budget);
  for (const std::string& it : ledger_.Lenders())
    max_available = std::max(max_available, ledger_.AvailableFrom(it, budget));
  return max_available;
}

void LendingHost::Draw() {
  const MonotonicTime now = parts_.queue->now();
  const std::size_t domain = parts_.size.DomainOf(parts_.host);
  GrantRequests direct;
  for (const GrantRequest& it : ledger_.TakeGrantRequests()) {
    const std::uint64_t bucket = BucketOf(it.budget);
    const std::string address =
        PeerModel::AddressOf(parts_.peers->LenderHost(domain, bucket));
    if (IsLenderFor(bucket) || borrower_.IsUnresponsive(address, now))
      direct[it.budget] = it;
    else
      borrower_.AddRequest(address, it, now);
  }
  DrawDirectly(direct);
  SendLoanRequests();
}

void LendingHost::DrawDirectly(const GrantRequests& requests) {
  std::set<std::uint64_t> buckets;
  for (const auto& [name, it] : requests) {
    AddToRound(it);
    buckets.insert(BucketOf(name));
  }
  for (std::uint64_t it : buckets)
    SyncBucket(it, false, [] {});
}

void LendingHost::SendLoanRequests() {
  for (const OutgoingLoanRequest& it :
       borrower_.DueRequests(ledger_, parts_.queue->now()))
    parts_.peers->Send(parts_.host, it.address, it.request);
  if (retry_scheduled_ || !borrower_.HasPendingRequests())
    return;
  retry_scheduled_ = true;
  parts_.queue->After(Seconds(kLoanRetryTickSeconds),
                      IfRunning([this] { RetryLoanRequests(); }));
}

void LendingHost::RetryLoanRequests() {
  retry_scheduled_ = false;
  DrawDirectly(borrower_.TakeExpired(parts_.queue->now()));
  SendLoanRequests();
}

void LendingHost::Send(const std::vector<OutgoingLoanResponse>& responses) {
  for (const OutgoingLoanResponse& it : responses) {
    if (!it.address.empty() && !it.response.grants.empty())
      parts_.peers->Send(parts_.host, it.address, it.response);
  }
}

void LendingHost::HandleMessage(const PeerMessage& message) {
  if (const auto* request = std::get_if<LoanRequest>(&message))
    HandleLoanRequest(*request);
  else
    HandleLoanResponse(std::get<LoanResponse>(message));
}

void LendingHost::HandleLoanRequest(const LoanRequest& request) {
  const OutgoingLoanResponse response =
      lender_.HandleRequest(request, ledger_, parts_.queue->now());
  std::set<std::uint64_t> buckets;
  for (const LoanGrant& it : response.response.grants) {
    if (it.outcome == LoanOutcome::kDrawing)
      buckets.insert(BucketOf(it.budget));
  }
  Send({response});
  for (std::uint64_t it : buckets)
    SyncBucket(it, false, [] {});
}

void LendingHost::HandleLoanResponse(const LoanResponse& response) {
  const LoanResult result = borrower_.HandleResponse(response, ledger_);
  for (const std::string& it : result.lent)
    Wake(it);
  for (const auto& [name, request] : result.short_of_tokens)
    Deny(name, request.smallest);
  DrawDirectly(result.direct);
}

bool LendingHost::AddLoanRequests(std::uint64_t bucket,
                                  bool flush,
                                  GrantRequests& requests) {
  const MonotonicTime now = parts_.queue->now();
  bool needed = lender_.BucketsToList().contains(bucket);
  for (const GrantRequest& it : lender_.PendingGrantRequests(ledger_, now)) {
    if (BucketOf(it.budget) != bucket)
      continue;
    needed = true;
    auto [own, added] = requests.emplace(it.budget, it);
    if (added)
      continue;
    own->second.needed = AddSaturated(own->second.needed, it.needed);
    own->second.smallest = std::min(own->second.smallest, it.smallest);
    own->second.lent_rate = it.lent_rate;
  }
  if (!flush || closing_)
    return needed;
  for (const GrantRequest& it : ledger_.StockRequests(bucket, now))
    requests.emplace(it.budget, it);
  return needed;
}

void LendingHost::OnRoundEnd(std::uint64_t bucket, const SyncResult& result) {
  Send(lender_.RetryPending(ledger_, parts_.queue->now()));
  for (const auto& [name, request] : result.short_of_tokens) {
    if (result.complete)
      Send(lender_.DenyShort(name, ledger_));
  }
  const bool failed = result.reason.code != ResultCode::kOk;
  if (failed || (!result.complete && !result.short_of_tokens.empty()))
    Send(lender_.DenyUnreachable(bucket));
}

void LendingHost::GiveBack(bool all) {
  closing_ = all;
  GrantHost::GiveBack(all);
}

void LendingHost::FlushCounters(std::function<void()> done) {
  for (const OutgoingLoanRequest& it : borrower_.PendingReports(ledger_))
    parts_.peers->Send(parts_.host, it.address, it.request);
  Send(lender_.UnacknowledgedLoans());
  GrantHost::FlushCounters(std::move(done));
}

TokensOf LendingHost::Held() const {
  TokensOf held;
  for (const auto& [name, it] : ledger_.Snapshot()) {
    held[name] = it.counters.Outstanding() - it.lent_billed - it.lent;
    for (const auto& [lender, loan] : it.loans) {
      held[name] += loan.totals.received - loan.settled - loan.totals.returned;
    }
  }
  return held;
}

TokensOf LendingHost::LentOutside(const std::set<std::string>& live) const {
  TokensOf tokens;
  for (const auto& [name, borrowers] : lender_.OutstandingLoans()) {
    for (const auto& [borrower, lent] : borrowers) {
      if (!live.contains(borrower))
        tokens[name] += lent;
    }
  }
  return tokens;
}

}  // namespace turmericwinch
