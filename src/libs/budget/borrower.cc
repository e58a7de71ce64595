#include "libs/budget/borrower.h"

#include <algorithm>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

// A grant request that was or will be sent to a lender.
struct PendingRequest {
  std::string address;
  GrantRequest request;
  MonotonicTime next_send;
  MonotonicTime expires;
};

}  // namespace

class Borrower::Private {
 public:
  std::optional<LoanRequestItem> RequestItemFor(const PendingRequest& it,
                                                const HostLedger& ledger) const;

  std::string holder;
  std::function<std::string()> address;
  std::map<std::string, PendingRequest> pending;
  std::map<std::string, std::string> holder_at;
  std::map<std::string, std::string> address_of;
  std::map<std::string, MonotonicTime> unresponsive_until;
};

Borrower::Borrower(std::string holder, std::function<std::string()> address)
    : d_(std::make_unique<Private>()) {
  d_->holder = std::move(holder);
  d_->address = std::move(address);
}

Borrower::~Borrower() = default;

bool Borrower::IsUnresponsive(const std::string& address,
                              MonotonicTime now) const {
  auto it = d_->unresponsive_until.find(address);
  return it != d_->unresponsive_until.end() && now < it->second;
}

void Borrower::AddRequest(const std::string& address,
                          const GrantRequest& request,
                          MonotonicTime now) {
  auto [it, added] = d_->pending.try_emplace(
      request.budget,
      PendingRequest{address, request, now, now + kLoanRequestTimeout});
  if (added)
    return;
  GrantRequest& known = it->second.request;
  known.needed = std::max(known.needed, request.needed);
  known.smallest = std::min(known.smallest, request.smallest);
  known.rate = request.rate;
  it->second.next_send = now;
}

// A grant request counts tokens in addition to this host's own row, a loan
// request in addition to the tokens of the lender. A reservation takes all its
// tokens from one of the two.
std::optional<LoanRequestItem> Borrower::Private::RequestItemFor(
    const PendingRequest& it,
    const HostLedger& ledger) const {
  const GrantRequest& request = it.request;
  const std::string lender =
      holder_at.contains(it.address) ? holder_at.at(it.address) : "";
  const std::int64_t own =
      std::max<std::int64_t>(ledger.Available(request.budget), 0);
  const std::int64_t lent = ledger.AvailableFrom(lender, request.budget);
  const std::int64_t needed = AddSaturated(request.needed, own - lent);
  const std::int64_t smallest = AddSaturated(request.smallest, own - lent);
  if (needed <= 0)
    return std::nullopt;
  return LoanRequestItem{request.budget, needed,
                         std::max<std::int64_t>(smallest, 1), request.rate,
                         ledger.LoanOf(lender, request.budget)};
}

std::vector<OutgoingLoanRequest> Borrower::DueRequests(const HostLedger& ledger,
                                                       MonotonicTime now) {
  std::map<std::string, LoanRequest> requests;
  for (auto& [budget, it] : d_->pending) {
    if (now < it.next_send)
      continue;
    LoanRequest& request = requests[it.address];
    if (request.items.size() >= kMaxLoanItems)
      continue;
    it.next_send = now + kLoanRequestRetryPause;
    std::optional<LoanRequestItem> item = d_->RequestItemFor(it, ledger);
    if (item)
      request.items.push_back(std::move(*item));
  }
  std::vector<OutgoingLoanRequest> outgoing;
  for (auto& [address, request] : requests) {
    if (request.items.empty())
      continue;
    request.borrower = d_->holder;
    request.lender = HolderAt(address);
    request.reply_to = d_->address();
    outgoing.push_back({address, std::move(request)});
  }
  return outgoing;
}

std::vector<OutgoingLoanRequest> Borrower::PendingReports(
    const HostLedger& ledger) const {
  std::vector<OutgoingLoanRequest> outgoing;
  for (const std::string& lender : ledger.Lenders()) {
    auto address = d_->address_of.find(lender);
    if (address == d_->address_of.end())
      continue;
    OutgoingLoanRequest report{address->second,
                               {d_->holder, lender, d_->address(), {}}};
    for (const auto& [budget, totals] : ledger.UnreportedLoans(lender)) {
      if (report.request.items.size() < kMaxLoanItems)
        report.request.items.push_back({budget, 0, 0, 0, totals});
    }
    if (!report.request.items.empty())
      outgoing.push_back(std::move(report));
  }
  return outgoing;
}

LoanResult Borrower::HandleResponse(const LoanResponse& response,
                                    HostLedger& ledger) {
  LoanResult result;
  if (response.borrower != d_->holder)
    return result;
  d_->holder_at[response.address] = response.lender;
  d_->address_of[response.lender] = response.address;
  d_->unresponsive_until.erase(response.address);
  for (const LoanGrant& it : response.grants) {
    const bool is_new = ledger.ApplyLoan(response.lender, it.budget, it.lent);
    ledger.ConfirmLoan(response.lender, it.budget, it.known);
    if (is_new)
      result.lent.push_back(it.budget);
    auto pending = d_->pending.find(it.budget);
    if (pending == d_->pending.end() ||
        pending->second.address != response.address)
      continue;
    const GrantRequest request = pending->second.request;
    switch (it.outcome) {
      case LoanOutcome::kOk:
        if (!is_new)
          continue;
        break;
      case LoanOutcome::kDrawing:
        pending->second.expires =
            std::max(pending->second.expires,
                     pending->second.next_send + kPendingLoanRequestTime);
        continue;
      case LoanOutcome::kShort:
        result.short_of_tokens[it.budget] = request;
        break;
      case LoanOutcome::kUnreachable:
      case LoanOutcome::kRefused:
        result.direct[it.budget] = request;
        break;
    }
    d_->pending.erase(pending);
  }
  return result;
}

GrantRequests Borrower::TakeExpired(MonotonicTime now) {
  GrantRequests expired;
  std::erase_if(d_->pending, [&](const auto& it) {
    if (now < it.second.expires)
      return false;
    d_->unresponsive_until[it.second.address] = now + kLenderBackoff;
    expired.emplace(it.first, it.second.request);
    return true;
  });
  return expired;
}

bool Borrower::HasPendingRequests() const {
  return !d_->pending.empty();
}

std::string Borrower::AddressOf(const std::string& lender) const {
  auto it = d_->address_of.find(lender);
  return it == d_->address_of.end() ? "" : it->second;
}

std::string Borrower::HolderAt(const std::string& address) const {
  auto it = d_->holder_at.find(address);
  return it == d_->holder_at.end() ? "" : it->second;
}

}  // namespace turmericwinch
