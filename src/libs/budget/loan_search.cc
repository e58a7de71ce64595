#include "libs/budget/loan_search.h"

#include <algorithm>
#include <utility>

#include "libs/budget/budget_account.h"

namespace turmericwinch {

std::vector<LenderEndpoint> FindLenders(const FleetAccount& account,
                                        const std::string& budget,
                                        const std::string& holder) {
  std::vector<LenderEndpoint> lenders;
  auto found = account.budgets.find(budget);
  if (found == account.budgets.end())
    return lenders;
  std::vector<std::pair<std::int64_t, LenderEndpoint>> ranked;
  for (const auto& [other, row] : found->second.rows) {
    auto heartbeat = account.heartbeats.find(other);
    if (other == holder || row.Held() <= 0 ||
        heartbeat == account.heartbeats.end() ||
        heartbeat->second.address.empty())
      continue;
    ranked.push_back({row.Held(), {other, heartbeat->second.address}});
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [held, it] : ranked)
    lenders.push_back(std::move(it));
  return lenders;
}

LoanSearch::LoanSearch(std::string holder, std::string address)
    : holder_(std::move(holder)), address_(std::move(address)) {}

bool LoanSearch::IsUnresponsive(const LenderEndpoint& lender,
                                MonotonicTime now) const {
  auto it = silent_until_.find(lender.address);
  return it != silent_until_.end() && now < it->second;
}

void LoanSearch::Start(const GrantRequest& wish,
                       std::vector<LenderEndpoint> lenders,
                       const Reason& reason,
                       MonotonicTime now) {
  auto [it, added] = searches_.try_emplace(wish.budget);
  Search& search = it->second;
  if (!added) {
    search.wish.needed = std::max(search.wish.needed, wish.needed);
    search.wish.smallest = std::min(search.wish.smallest, wish.smallest);
    return;
  }
  search.wish = wish;
  search.reason = reason;
  search.until = now;
  std::erase_if(lenders, [&](const LenderEndpoint& it) {
    return IsUnresponsive(it, now);
  });
  lenders.resize(std::min(lenders.size(), kMaxLendersAsked));
  search.lenders.assign(lenders.begin(), lenders.end());
}

bool LoanSearch::IsSearching(const std::string& budget) const {
  return searches_.contains(budget);
}

// A wish counts beyond the own row, an ask beyond what the lender lent; a
// request takes from one of them.
std::optional<OutgoingLoanRequest> LoanSearch::NextRequest(
    Search& search,
    const HostLedger& ledger,
    MonotonicTime now) {
  if (search.lenders.empty())
    return std::nullopt;
  search.asked = std::move(search.lenders.front());
  search.lenders.pop_front();
  search.until = now + kLoanResponseTimeout;
  const GrantRequest& wish = search.wish;
  const std::string& lender = search.asked->holder;
  const std::int64_t own =
      std::max<std::int64_t>(ledger.Available(wish.budget), 0);
  const std::int64_t lent = ledger.AvailableFrom(lender, wish.budget);
  LoanRequestItem item{
      wish.budget, AddSaturated(wish.needed, own - lent),
      std::max<std::int64_t>(AddSaturated(wish.smallest, own - lent), 1), 0,
      ledger.LoanOf(lender, wish.budget)};
  return OutgoingLoanRequest{search.asked->address,
                             {holder_, lender, address_, {std::move(item)}}};
}

std::vector<OutgoingLoanRequest> LoanSearch::DueRequests(
    const HostLedger& ledger,
    MonotonicTime now) {
  std::vector<OutgoingLoanRequest> asks;
  for (auto it = searches_.begin(); it != searches_.end();) {
    Search& search = it->second;
    if (now < search.until) {
      ++it;
      continue;
    }
    if (search.asked)
      silent_until_[search.asked->address] = now + kUnresponsiveLenderPause;
    search.asked.reset();
    std::optional<OutgoingLoanRequest> ask = NextRequest(search, ledger, now);
    if (ask) {
      asks.push_back(std::move(*ask));
      ++it;
      continue;
    }
    failed_.push_back({it->first, search.wish.smallest, search.reason});
    it = searches_.erase(it);
  }
  return asks;
}

std::vector<std::string> LoanSearch::HandleResponse(const LoanResponse& answer,
                                                    HostLedger& ledger,
                                                    MonotonicTime now) {
  std::vector<std::string> lent;
  if (answer.borrower != holder_)
    return lent;
  silent_until_.erase(answer.address);
  for (const LoanGrant& it : answer.grants) {
    const bool more = ledger.ApplyLoan(answer.lender, it.budget, it.lent);
    ledger.ConfirmLoan(answer.lender, it.budget, it.known);
    auto open = searches_.find(it.budget);
    if (more) {
      lent.push_back(it.budget);
      if (open != searches_.end())
        searches_.erase(open);
      continue;
    }
    if (open == searches_.end() || !open->second.asked ||
        open->second.asked->holder != answer.lender)
      continue;
    // The next host is due at once.
    open->second.asked.reset();
    open->second.until = now;
  }
  return lent;
}

std::vector<FailedLoanSearch> LoanSearch::TakeFailed() {
  return std::exchange(failed_, {});
}

std::optional<MonotonicTime> LoanSearch::NextDueTime() const {
  std::optional<MonotonicTime> next;
  for (const auto& [budget, it] : searches_) {
    if (!next || it.until < *next)
      next = it.until;
  }
  return next;
}

}  // namespace turmericwinch
