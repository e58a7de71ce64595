#include "libs/budget/lender.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/grant_planner.h"

namespace turmericwinch {

namespace {

// The loan of one budget to one borrower: the total lent, and the totals that
// the borrower reported.
struct Loan {
  std::int64_t lent = 0;
  LoanTotals totals;

  std::int64_t Outstanding() const { return lent - totals.Accounted(); }
};

// A request that waits for tokens or for the borrower to be listed.
struct PendingRequest {
  std::string address;
  LoanRequestItem item;
  MonotonicTime since;
};

}  // namespace

class Lender::Private {
 public:
  // Merges the totals in `item` and returns how many tokens the borrower billed
  // since the totals merged before.
  std::int64_t MergeTotals(const std::string& borrower,
                           const LoanRequestItem& item,
                           HostLedger& ledger);
  LoanOutcome TryLend(const std::string& borrower,
                      const LoanRequestItem& item,
                      HostLedger& ledger,
                      MonotonicTime now);
  void AddPending(const std::string& borrower,
                  const std::string& address,
                  const LoanRequestItem& item,
                  MonotonicTime now);
  bool IsListed(const std::string& budget, const std::string& borrower) const;
  LoanGrant LoanGrantFor(const std::string& borrower,
                         const std::string& budget,
                         LoanOutcome outcome) const;
  OutgoingLoanResponse ResponseTo(const std::string& borrower,
                                  const std::string& address,
                                  const std::string& budget,
                                  LoanOutcome outcome) const;

  LenderParts parts;
  // By budget and borrower.
  std::map<std::string, std::map<std::string, Loan>> loans;
  std::map<std::string, std::map<std::string, PendingRequest>> pending;
  std::map<std::uint64_t, std::set<std::string>> listed_borrowers;
  std::set<std::string> known_borrowers;
  // Reply address in each borrower's last request.
  std::map<std::string, std::string> address_of;
  std::set<std::string> ended_borrowers;
  bool stopped = false;
};

Lender::Lender(LenderParts parts) : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
}

Lender::~Lender() = default;

// Totals above the lent tokens cannot be correct and are clamped.
std::int64_t Lender::Private::MergeTotals(const std::string& borrower,
                                          const LoanRequestItem& item,
                                          HostLedger& ledger) {
  Loan& loan = loans[item.budget][borrower];
  const LoanTotals old_totals = loan.totals;
  loan.totals.received = std::clamp(item.totals.received, old_totals.received,
                                    std::max(old_totals.received, loan.lent));
  loan.totals.billed =
      std::clamp(item.totals.billed, old_totals.billed,
                 std::max(old_totals.billed, loan.lent - old_totals.returned));
  loan.totals.returned =
      std::clamp(item.totals.returned, old_totals.returned,
                 std::max(old_totals.returned, loan.lent - loan.totals.billed));
  ledger.ReduceLent(item.budget, loan.totals.billed - old_totals.billed,
                    loan.totals.returned - old_totals.returned);
  return loan.totals.billed - old_totals.billed;
}

bool Lender::Private::IsListed(const std::string& budget,
                               const std::string& borrower) const {
  auto it = listed_borrowers.find(BucketOf(budget));
  return it != listed_borrowers.end() && it->second.contains(borrower);
}

// A borrower that has not received all lent tokens is sent the same loan again
// instead of a new one. A request with older totals than those known was
// overtaken by a later one.
LoanOutcome Lender::Private::TryLend(const std::string& borrower,
                                     const LoanRequestItem& item,
                                     HostLedger& ledger,
                                     MonotonicTime now) {
  if (ended_borrowers.contains(borrower) || ledger.fenced())
    return LoanOutcome::kRefused;
  Loan& loan = loans[item.budget][borrower];
  if (item.needed <= 0 || loan.lent > loan.totals.received ||
      item.totals.received < loan.totals.received)
    return LoanOutcome::kOk;
  if (stopped)
    return LoanOutcome::kRefused;
  if (!IsListed(item.budget, borrower))
    return LoanOutcome::kDrawing;
  const std::int64_t available = ledger.Available(item.budget);
  if (available < std::max<std::int64_t>(item.smallest, 1))
    return LoanOutcome::kDrawing;
  const std::int64_t tokens =
      PlanGrant({item.needed, item.rate, parts.hosts_in_domain(), available,
                 parts.reserve_percent_of(item.budget)});
  if (!ledger.Lend(item.budget, tokens, now))
    return LoanOutcome::kRefused;
  loan.lent += tokens;
  return LoanOutcome::kOk;
}

// A repeated request replaces the pending one only if it needs more tokens.
void Lender::Private::AddPending(const std::string& borrower,
                                 const std::string& address,
                                 const LoanRequestItem& item,
                                 MonotonicTime now) {
  auto [it, added] = pending[item.budget].try_emplace(
      borrower, PendingRequest{address, item, now});
  if (!added && it->second.item.needed >= item.needed)
    return;
  it->second = {address, item, now};
}

LoanGrant Lender::Private::LoanGrantFor(const std::string& borrower,
                                        const std::string& budget,
                                        LoanOutcome outcome) const {
  auto row = loans.find(budget);
  if (row == loans.end() || !row->second.contains(borrower))
    return {budget, 0, 0, outcome};
  const Loan& loan = row->second.at(borrower);
  return {budget, loan.lent, loan.totals.Sum(), outcome};
}

OutgoingLoanResponse Lender::Private::ResponseTo(const std::string& borrower,
                                                 const std::string& address,
                                                 const std::string& budget,
                                                 LoanOutcome outcome) const {
  return {address,
          {parts.holder,
           borrower,
           parts.address(),
           {LoanGrantFor(borrower, budget, outcome)}}};
}

OutgoingLoanResponse Lender::HandleRequest(const LoanRequest& request,
                                           HostLedger& ledger,
                                           MonotonicTime now) {
  OutgoingLoanResponse outgoing{
      request.reply_to,
      {d_->parts.holder, request.borrower, d_->parts.address(), {}}};
  if (!d_->ended_borrowers.contains(request.borrower)) {
    d_->known_borrowers.insert(request.borrower);
    d_->address_of[request.borrower] = request.reply_to;
  }
  for (LoanRequestItem item : request.items) {
    if (request.lender != d_->parts.holder)
      item.totals = {};
    if (!d_->ended_borrowers.contains(request.borrower)) {
      const std::int64_t billed =
          d_->MergeTotals(request.borrower, item, ledger);
      ledger.RecordLoanDemand(item.budget, billed, now);
    }
    // The demand rate counts billed tokens; the first request counts as demand
    // until tokens are billed.
    if (item.needed > 0 && ledger.LentRate(item.budget, now) <= 0)
      ledger.RecordLoanDemand(item.budget, item.needed, now);
    const LoanOutcome outcome =
        d_->TryLend(request.borrower, item, ledger, now);
    if (outcome == LoanOutcome::kDrawing)
      d_->AddPending(request.borrower, request.reply_to, item, now);
    outgoing.response.grants.push_back(
        d_->LoanGrantFor(request.borrower, item.budget, outcome));
  }
  return outgoing;
}

void Lender::StopLending() {
  d_->stopped = true;
}

std::vector<OutgoingLoanResponse> Lender::RetryPending(HostLedger& ledger,
                                                       MonotonicTime now) {
  std::vector<OutgoingLoanResponse> responses;
  for (auto& row : d_->pending) {
    const std::string& budget = row.first;
    std::erase_if(row.second, [&](const auto& it) {
      const auto& [borrower, request] = it;
      const LoanOutcome outcome =
          d_->TryLend(borrower, request.item, ledger, now);
      if (outcome == LoanOutcome::kDrawing)
        return now - request.since >= kPendingLoanRequestTime;
      responses.push_back(
          d_->ResponseTo(borrower, request.address, budget, outcome));
      return true;
    });
  }
  std::erase_if(d_->pending, [](const auto& it) { return it.second.empty(); });
  return responses;
}

std::vector<OutgoingLoanResponse> Lender::DenyShort(const std::string& budget,
                                                    const HostLedger& ledger) {
  std::vector<OutgoingLoanResponse> responses;
  const std::int64_t available = ledger.Available(budget);
  std::erase_if(d_->pending[budget], [&](const auto& it) {
    const auto& [borrower, request] = it;
    if (request.item.smallest <= available)
      return false;
    responses.push_back(
        d_->ResponseTo(borrower, request.address, budget, LoanOutcome::kShort));
    return true;
  });
  if (d_->pending[budget].empty())
    d_->pending.erase(budget);
  return responses;
}

std::vector<OutgoingLoanResponse> Lender::DenyUnreachable(
    std::uint64_t bucket) {
  std::vector<OutgoingLoanResponse> responses;
  std::erase_if(d_->pending, [&](const auto& row) {
    if (BucketOf(row.first) != bucket)
      return false;
    for (const auto& [borrower, request] : row.second) {
      responses.push_back(d_->ResponseTo(borrower, request.address, row.first,
                                         LoanOutcome::kUnreachable));
    }
    return true;
  });
  return responses;
}

std::vector<GrantRequest> Lender::PendingGrantRequests(
    HostLedger& ledger,
    MonotonicTime now) const {
  std::vector<GrantRequest> grant_requests;
  for (const auto& [budget, requests] : d_->pending) {
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(budget), 0);
    std::int64_t needed = 0;
    std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
    for (const auto& [borrower, request] : requests) {
      needed = AddSaturated(needed, request.item.needed);
      smallest = std::min(smallest, request.item.smallest);
    }
    if (needed <= available)
      continue;
    grant_requests.push_back({budget, needed - available,
                              std::max<std::int64_t>(smallest - available, 1),
                              0, ledger.LentRate(budget, now)});
  }
  return grant_requests;
}

std::vector<OutgoingLoanResponse> Lender::UnacknowledgedLoans() const {
  std::map<std::string, LoanResponse> responses;
  for (const auto& [budget, rows] : d_->loans) {
    for (const auto& [borrower, loan] : rows) {
      if (loan.lent <= loan.totals.received)
        continue;
      std::vector<LoanGrant>& grants = responses[borrower].grants;
      if (grants.size() < kMaxLoanItems)
        grants.push_back(d_->LoanGrantFor(borrower, budget, LoanOutcome::kOk));
    }
  }
  std::vector<OutgoingLoanResponse> outgoing;
  for (auto& [borrower, response] : responses) {
    response.lender = d_->parts.holder;
    response.borrower = borrower;
    response.address = d_->parts.address();
    outgoing.push_back({d_->address_of[borrower], std::move(response)});
  }
  return outgoing;
}

std::set<std::uint64_t> Lender::BucketsToList() const {
  std::set<std::uint64_t> buckets;
  for (const auto& [budget, requests] : d_->pending) {
    for (const auto& [borrower, request] : requests) {
      if (!d_->IsListed(budget, borrower))
        buckets.insert(BucketOf(budget));
    }
  }
  return buckets;
}

std::set<std::string> Lender::BorrowersToList(std::uint64_t bucket) const {
  std::set<std::string> borrowers = d_->known_borrowers;
  for (const auto& [budget, rows] : d_->loans) {
    if (BucketOf(budget) != bucket)
      continue;
    for (const auto& [borrower, loan] : rows) {
      if (loan.Outstanding() > 0)
        borrowers.insert(borrower);
    }
  }
  return borrowers;
}

void Lender::ConfirmBorrowers(std::uint64_t bucket,
                              const std::set<std::string>& list) {
  d_->listed_borrowers[bucket] = list;
}

bool Lender::HasLoans(const std::string& borrower) const {
  for (const auto& [budget, rows] : d_->loans) {
    auto it = rows.find(borrower);
    if (it != rows.end() && it->second.Outstanding() > 0)
      return true;
  }
  return false;
}

void Lender::EndBorrower(const std::string& borrower,
                         const std::map<std::string, std::int64_t>& settled,
                         HostLedger& ledger) {
  d_->ended_borrowers.insert(borrower);
  d_->known_borrowers.erase(borrower);
  d_->address_of.erase(borrower);
  for (auto& [budget, rows] : d_->loans) {
    auto it = rows.find(borrower);
    if (it == rows.end())
      continue;
    auto found = settled.find(budget);
    LoanRequestItem last{budget, 0, 0, 0, it->second.totals};
    if (found != settled.end())
      last.totals.billed = found->second;
    d_->MergeTotals(borrower, last, ledger);
    last.totals.returned = it->second.lent;
    d_->MergeTotals(borrower, last, ledger);
    ledger.RecordUnlisted(budget, it->second.totals.billed);
    rows.erase(it);
  }
  for (auto& [budget, requests] : d_->pending)
    requests.erase(borrower);
}

bool Lender::HasEnded(const std::string& borrower) const {
  return d_->ended_borrowers.contains(borrower);
}

std::map<std::string, std::map<std::string, std::int64_t>>
Lender::OutstandingLoans() const {
  std::map<std::string, std::map<std::string, std::int64_t>> outstanding;
  for (const auto& [budget, rows] : d_->loans) {
    for (const auto& [borrower, loan] : rows) {
      if (loan.Outstanding() > 0)
        outstanding[budget][borrower] = loan.Outstanding();
    }
  }
  return outstanding;
}

}  // namespace turmericwinch
