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
  auto it = unresponsive_until_.find(lender.address);
  return it != unresponsive_until_.end() && now < it->second;
}

void LoanSearch::Start(const GrantRequest& request,
                       LoanScope scope,
                       std::vector<LenderEndpoint> lenders,
                       const Reason& reason,
                       MonotonicTime now) {
  auto [it, added] = searches_.try_emplace(request.budget);
  Search& search = it->second;
  if (!added) {
    if (request.needed > search.request.needed) {
      search.request.needed = request.needed;
      search.request.sizes = request.sizes;
    }
    // The search fails for the smallest request, so the reason must be its own.
    if (request.smallest < search.request.smallest) {
      search.request.smallest = request.smallest;
      search.reason = reason;
    }
    return;
  }
  search.request = request;
  search.scope = scope;
  search.reason = reason;
  search.deadline = now;
  std::erase_if(lenders, [&](const LenderEndpoint& it) {
    return IsUnresponsive(it, now);
  });
  lenders.resize(std::min(lenders.size(), kMaxLendersAsked));
  search.lenders.assign(lenders.begin(), lenders.end());
}

bool LoanSearch::IsSearching(const std::string& budget) const {
  return searches_.contains(budget);
}

// A grant request counts tokens in addition to this host's own row, a loan
// request in addition to the tokens of the lender. A reservation takes all its
// tokens from one of the two.
std::optional<OutgoingLoanRequest> LoanSearch::NextRequest(
    Search& search,
    const HostLedger& ledger,
    MonotonicTime now) {
  if (search.lenders.empty())
    return std::nullopt;
  search.asked_lender = std::move(search.lenders.front());
  search.is_drawing = false;
  search.lenders.pop_front();
  search.deadline = now + kLoanResponseTimeout;
  const GrantRequest& request = search.request;
  const std::string& lender = search.asked_lender->holder;
  const std::int64_t own =
      std::max<std::int64_t>(ledger.Available(request.budget), 0);
  const std::int64_t lent = ledger.AvailableFrom(lender, request.budget);
  // A loan that arrived meanwhile may cover the request.
  const std::int64_t smallest =
      std::max<std::int64_t>(AddSaturated(request.smallest, own - lent), 1);
  const std::int64_t needed =
      std::max(AddSaturated(request.needed, own - lent), smallest);
  LoanRequestItem item{request.budget, needed, smallest, 0,
                       ledger.LoanOf(lender, request.budget)};
  return OutgoingLoanRequest{search.asked_lender->address,
                             {holder_, lender, address_, {std::move(item)}}};
}

std::vector<OutgoingLoanRequest> LoanSearch::DueRequests(
    const HostLedger& ledger,
    MonotonicTime now) {
  std::vector<OutgoingLoanRequest> requests;
  for (auto it = searches_.begin(); it != searches_.end();) {
    Search& search = it->second;
    if (now < search.deadline) {
      ++it;
      continue;
    }
    if (search.asked_lender && !search.is_drawing)
      unresponsive_until_[search.asked_lender->address] =
          now + kUnresponsiveLenderPause;
    search.asked_lender.reset();
    std::optional<OutgoingLoanRequest> request =
        NextRequest(search, ledger, now);
    if (request) {
      requests.push_back(std::move(*request));
      ++it;
      continue;
    }
    failed_.push_back({search.request, search.scope, search.reason});
    it = searches_.erase(it);
  }
  return requests;
}

std::vector<std::string> LoanSearch::HandleResponse(
    const LoanResponse& response,
    HostLedger& ledger,
    MonotonicTime now) {
  std::vector<std::string> lent;
  if (response.borrower != holder_)
    return lent;
  unresponsive_until_.erase(response.address);
  for (const LoanGrant& it : response.grants) {
    const bool is_new = ledger.ApplyLoan(response.lender, it.budget, it.lent);
    ledger.ConfirmLoan(response.lender, it.budget, it.known);
    auto search = searches_.find(it.budget);
    if (is_new) {
      lent.push_back(it.budget);
      if (search != searches_.end())
        searches_.erase(search);
      continue;
    }
    if (search == searches_.end() || !search->second.asked_lender ||
        search->second.asked_lender->holder != response.lender)
      continue;
    if (it.outcome == LoanOutcome::kDrawing) {
      search->second.is_drawing = true;
      search->second.deadline = now + kLoanDrawTimeout;
      continue;
    }
    // Ask the next host without waiting for the timeout.
    search->second.asked_lender.reset();
    search->second.deadline = now;
  }
  return lent;
}

std::vector<FailedLoanSearch> LoanSearch::TakeFailed() {
  return std::exchange(failed_, {});
}

std::optional<MonotonicTime> LoanSearch::NextDueTime() const {
  std::optional<MonotonicTime> next;
  for (const auto& [budget, it] : searches_) {
    if (!next || it.deadline < *next)
      next = it.deadline;
  }
  return next;
}

}  // namespace turmericwinch
