#include "libs/budget/borrower.h"

#include <algorithm>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

// A wish that a lender was or will be asked for.
struct OpenWish {
  std::string address;
  GrantRequest wish;
  MonotonicTime next;
  MonotonicTime expires;
};

}  // namespace

class Borrower::Private {
 public:
  std::optional<LoanRequestItem> ItemOf(const OpenWish& it,
                                        const HostLedger& ledger) const;

  std::string holder;
  std::function<std::string()> address;
  std::map<std::string, OpenWish> wishes;
  std::map<std::string, std::string> holder_at;
  std::map<std::string, std::string> address_of;
  std::map<std::string, MonotonicTime> silent_until;
};

Borrower::Borrower(std::string holder, std::function<std::string()> address)
    : d_(std::make_unique<Private>()) {
  d_->holder = std::move(holder);
  d_->address = std::move(address);
}

Borrower::~Borrower() = default;

bool Borrower::IsUnresponsive(const std::string& address,
                              MonotonicTime now) const {
  auto it = d_->silent_until.find(address);
  return it != d_->silent_until.end() && now < it->second;
}

void Borrower::AddRequest(const std::string& address,
                          const GrantRequest& wish,
                          MonotonicTime now) {
  auto [it, added] = d_->wishes.try_emplace(
      wish.budget, OpenWish{address, wish, now, now + kLoanRequestTimeout});
  if (added)
    return;
  GrantRequest& open = it->second.wish;
  open.needed = std::max(open.needed, wish.needed);
  open.smallest = std::min(open.smallest, wish.smallest);
  open.rate = wish.rate;
  it->second.next = now;
}

// A wish counts beyond the own row; an ask beyond what the lender lent. A
// request takes from one of them.
std::optional<LoanRequestItem> Borrower::Private::ItemOf(
    const OpenWish& it,
    const HostLedger& ledger) const {
  const GrantRequest& wish = it.wish;
  const std::string lender =
      holder_at.contains(it.address) ? holder_at.at(it.address) : "";
  const std::int64_t own =
      std::max<std::int64_t>(ledger.Available(wish.budget), 0);
  const std::int64_t lent = ledger.AvailableFrom(lender, wish.budget);
  const std::int64_t needed = AddSaturated(wish.needed, own - lent);
  const std::int64_t smallest = AddSaturated(wish.smallest, own - lent);
  if (needed <= 0)
    return std::nullopt;
  return LoanRequestItem{wish.budget, needed,
                         std::max<std::int64_t>(smallest, 1), wish.rate,
                         ledger.LoanOf(lender, wish.budget)};
}

std::vector<OutgoingLoanRequest> Borrower::DueRequests(const HostLedger& ledger,
                                                       MonotonicTime now) {
  std::map<std::string, LoanRequest> asks;
  for (auto& [budget, it] : d_->wishes) {
    if (now < it.next)
      continue;
    LoanRequest& ask = asks[it.address];
    if (ask.items.size() >= kMaxLoanItems)
      continue;
    it.next = now + kLoanRequestRetryPause;
    std::optional<LoanRequestItem> item = d_->ItemOf(it, ledger);
    if (item)
      ask.items.push_back(std::move(*item));
  }
  std::vector<OutgoingLoanRequest> outgoing;
  for (auto& [address, ask] : asks) {
    if (ask.items.empty())
      continue;
    ask.borrower = d_->holder;
    ask.lender = HolderAt(address);
    ask.reply_to = d_->address();
    outgoing.push_back({address, std::move(ask)});
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

LoanResult Borrower::HandleResponse(const LoanResponse& answer,
                                    HostLedger& ledger) {
  LoanResult result;
  if (answer.borrower != d_->holder)
    return result;
  d_->holder_at[answer.address] = answer.lender;
  d_->address_of[answer.lender] = answer.address;
  d_->silent_until.erase(answer.address);
  for (const LoanGrant& it : answer.grants) {
    const bool more = ledger.ApplyLoan(answer.lender, it.budget, it.lent);
    ledger.ConfirmLoan(answer.lender, it.budget, it.known);
    if (more)
      result.lent.push_back(it.budget);
    auto open = d_->wishes.find(it.budget);
    if (open == d_->wishes.end() || open->second.address != answer.address)
      continue;
    const GrantRequest wish = open->second.wish;
    switch (it.outcome) {
      case LoanOutcome::kOk:
        if (!more)
          continue;
        break;
      case LoanOutcome::kDrawing:
        open->second.expires = std::max(
            open->second.expires, open->second.next + kPendingLoanRequestTime);
        continue;
      case LoanOutcome::kShort:
        result.short_of_tokens[it.budget] = wish;
        break;
      case LoanOutcome::kUnreachable:
      case LoanOutcome::kRefused:
        result.direct[it.budget] = wish;
        break;
    }
    d_->wishes.erase(open);
  }
  return result;
}

GrantRequests Borrower::TakeExpired(MonotonicTime now) {
  GrantRequests expired;
  std::erase_if(d_->wishes, [&](const auto& it) {
    if (now < it.second.expires)
      return false;
    d_->silent_until[it.second.address] = now + kLenderBackoff;
    expired.emplace(it.first, it.second.wish);
    return true;
  });
  return expired;
}

bool Borrower::HasPendingRequests() const {
  return !d_->wishes.empty();
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
