#include "libs/budget/lender.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/grant_planner.h"

namespace turmericwinch {

namespace {

// One borrower's part of one budget: what was lent in all, and its totals.
struct Loan {
  std::int64_t lent = 0;
  LoanTotals totals;

  std::int64_t Open() const { return lent - totals.Accounted(); }
};

// An ask that waits for tokens or for the list of borrowers.
struct KeptAsk {
  std::string address;
  LoanRequestItem wish;
  MonotonicTime since;
};

}  // namespace

class Lender::Private {
 public:
  // Answers how many tokens the borrower billed beyond those known.
  std::int64_t Merge(const std::string& borrower,
                     const LoanRequestItem& wish,
                     HostLedger& ledger);
  LoanOutcome Meet(const std::string& borrower,
                   const LoanRequestItem& wish,
                   HostLedger& ledger,
                   MonotonicTime now);
  void Keep(const std::string& borrower,
            const std::string& address,
            const LoanRequestItem& wish,
            MonotonicTime now);
  bool IsListed(const std::string& budget, const std::string& borrower) const;
  LoanGrant GrantOf(const std::string& borrower,
                    const std::string& budget,
                    LoanOutcome outcome) const;
  OutgoingLoanResponse AnswerTo(const std::string& borrower,
                                const std::string& address,
                                const std::string& budget,
                                LoanOutcome outcome) const;

  LenderParts parts;
  // By budget and borrower.
  std::map<std::string, std::map<std::string, Loan>> loans;
  std::map<std::string, std::map<std::string, KeptAsk>> kept;
  std::map<std::uint64_t, std::set<std::string>> listed;
  std::set<std::string> known;
  // Where borrowers were last heard from.
  std::map<std::string, std::string> address_of;
  std::set<std::string> ended;
  bool stopped = false;
};

Lender::Lender(LenderParts parts) : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
}

Lender::~Lender() = default;

// Totals above what was lent cannot be true; they are held to it.
std::int64_t Lender::Private::Merge(const std::string& borrower,
                                    const LoanRequestItem& wish,
                                    HostLedger& ledger) {
  Loan& loan = loans[wish.budget][borrower];
  const LoanTotals was = loan.totals;
  loan.totals.received = std::clamp(wish.totals.received, was.received,
                                    std::max(was.received, loan.lent));
  loan.totals.billed =
      std::clamp(wish.totals.billed, was.billed,
                 std::max(was.billed, loan.lent - was.returned));
  loan.totals.returned =
      std::clamp(wish.totals.returned, was.returned,
                 std::max(was.returned, loan.lent - loan.totals.billed));
  ledger.ReduceLent(wish.budget, loan.totals.billed - was.billed,
                    loan.totals.returned - was.returned);
  return loan.totals.billed - was.billed;
}

bool Lender::Private::IsListed(const std::string& budget,
                               const std::string& borrower) const {
  auto it = listed.find(BucketOf(budget));
  return it != listed.end() && it->second.contains(borrower);
}

// A borrower that has not received all that was lent is told it again rather
// than lent more; one whose totals are older than those known asked before.
LoanOutcome Lender::Private::Meet(const std::string& borrower,
                                  const LoanRequestItem& wish,
                                  HostLedger& ledger,
                                  MonotonicTime now) {
  if (ended.contains(borrower) || ledger.fenced())
    return LoanOutcome::kRefused;
  Loan& loan = loans[wish.budget][borrower];
  if (wish.needed <= 0 || loan.lent > loan.totals.received ||
      wish.totals.received < loan.totals.received)
    return LoanOutcome::kOk;
  if (stopped)
    return LoanOutcome::kRefused;
  if (!IsListed(wish.budget, borrower))
    return LoanOutcome::kDrawing;
  const std::int64_t available = ledger.Available(wish.budget);
  if (available < std::max<std::int64_t>(wish.smallest, 1))
    return LoanOutcome::kDrawing;
  const std::int64_t tokens =
      PlanGrant({wish.needed, wish.rate, parts.hosts_in_domain(), available,
                 parts.reserve_percent_of(wish.budget)});
  if (!ledger.Lend(wish.budget, tokens, now))
    return LoanOutcome::kRefused;
  loan.lent += tokens;
  return LoanOutcome::kOk;
}

// A repeated ask is not wished for twice.
void Lender::Private::Keep(const std::string& borrower,
                           const std::string& address,
                           const LoanRequestItem& wish,
                           MonotonicTime now) {
  auto [it, added] =
      kept[wish.budget].try_emplace(borrower, KeptAsk{address, wish, now});
  if (!added && it->second.wish.needed >= wish.needed)
    return;
  it->second = {address, wish, now};
}

LoanGrant Lender::Private::GrantOf(const std::string& borrower,
                                   const std::string& budget,
                                   LoanOutcome outcome) const {
  auto row = loans.find(budget);
  if (row == loans.end() || !row->second.contains(borrower))
    return {budget, 0, 0, outcome};
  const Loan& loan = row->second.at(borrower);
  return {budget, loan.lent, loan.totals.Sum(), outcome};
}

OutgoingLoanResponse Lender::Private::AnswerTo(const std::string& borrower,
                                               const std::string& address,
                                               const std::string& budget,
                                               LoanOutcome outcome) const {
  return {address,
          {parts.holder,
           borrower,
           parts.address(),
           {GrantOf(borrower, budget, outcome)}}};
}

OutgoingLoanResponse Lender::HandleRequest(const LoanRequest& ask,
                                           HostLedger& ledger,
                                           MonotonicTime now) {
  OutgoingLoanResponse outgoing{
      ask.reply_to, {d_->parts.holder, ask.borrower, d_->parts.address(), {}}};
  if (!d_->ended.contains(ask.borrower)) {
    d_->known.insert(ask.borrower);
    d_->address_of[ask.borrower] = ask.reply_to;
  }
  for (LoanRequestItem wish : ask.items) {
    if (ask.lender != d_->parts.holder)
      wish.totals = {};
    if (!d_->ended.contains(ask.borrower)) {
      const std::int64_t billed = d_->Merge(ask.borrower, wish, ledger);
      ledger.RecordLoanDemand(wish.budget, billed, now);
    }
    // Demand is what is billed; the first ask stands in for it until then.
    if (wish.needed > 0 && ledger.LentRate(wish.budget, now) <= 0)
      ledger.RecordLoanDemand(wish.budget, wish.needed, now);
    const LoanOutcome outcome = d_->Meet(ask.borrower, wish, ledger, now);
    if (outcome == LoanOutcome::kDrawing)
      d_->Keep(ask.borrower, ask.reply_to, wish, now);
    outgoing.response.grants.push_back(
        d_->GrantOf(ask.borrower, wish.budget, outcome));
  }
  return outgoing;
}

void Lender::StopLending() {
  d_->stopped = true;
}

std::vector<OutgoingLoanResponse> Lender::RetryPending(HostLedger& ledger,
                                                       MonotonicTime now) {
  std::vector<OutgoingLoanResponse> answers;
  for (auto& row : d_->kept) {
    const std::string& budget = row.first;
    std::erase_if(row.second, [&](const auto& it) {
      const auto& [borrower, ask] = it;
      const LoanOutcome outcome = d_->Meet(borrower, ask.wish, ledger, now);
      if (outcome == LoanOutcome::kDrawing)
        return now - ask.since >= kPendingLoanRequestTime;
      answers.push_back(d_->AnswerTo(borrower, ask.address, budget, outcome));
      return true;
    });
  }
  std::erase_if(d_->kept, [](const auto& it) { return it.second.empty(); });
  return answers;
}

std::vector<OutgoingLoanResponse> Lender::DenyShort(const std::string& budget,
                                                    const HostLedger& ledger) {
  std::vector<OutgoingLoanResponse> answers;
  const std::int64_t available = ledger.Available(budget);
  std::erase_if(d_->kept[budget], [&](const auto& it) {
    const auto& [borrower, ask] = it;
    if (ask.wish.smallest <= available)
      return false;
    answers.push_back(
        d_->AnswerTo(borrower, ask.address, budget, LoanOutcome::kShort));
    return true;
  });
  if (d_->kept[budget].empty())
    d_->kept.erase(budget);
  return answers;
}

std::vector<OutgoingLoanResponse> Lender::DenyUnreachable(
    std::uint64_t bucket) {
  std::vector<OutgoingLoanResponse> answers;
  std::erase_if(d_->kept, [&](const auto& row) {
    if (BucketOf(row.first) != bucket)
      return false;
    for (const auto& [borrower, ask] : row.second) {
      answers.push_back(d_->AnswerTo(borrower, ask.address, row.first,
                                     LoanOutcome::kUnreachable));
    }
    return true;
  });
  return answers;
}

std::vector<GrantRequest> Lender::PendingGrantRequests(
    HostLedger& ledger,
    MonotonicTime now) const {
  std::vector<GrantRequest> wishes;
  for (const auto& [budget, asks] : d_->kept) {
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(budget), 0);
    std::int64_t needed = 0;
    std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
    for (const auto& [borrower, ask] : asks) {
      needed = AddSaturated(needed, ask.wish.needed);
      smallest = std::min(smallest, ask.wish.smallest);
    }
    if (needed <= available)
      continue;
    wishes.push_back({budget, needed - available,
                      std::max<std::int64_t>(smallest - available, 1), 0,
                      ledger.LentRate(budget, now)});
  }
  return wishes;
}

std::vector<OutgoingLoanResponse> Lender::UnacknowledgedLoans() const {
  std::map<std::string, LoanResponse> answers;
  for (const auto& [budget, rows] : d_->loans) {
    for (const auto& [borrower, loan] : rows) {
      if (loan.lent <= loan.totals.received)
        continue;
      std::vector<LoanGrant>& grants = answers[borrower].grants;
      if (grants.size() < kMaxLoanItems)
        grants.push_back(d_->GrantOf(borrower, budget, LoanOutcome::kOk));
    }
  }
  std::vector<OutgoingLoanResponse> outgoing;
  for (auto& [borrower, answer] : answers) {
    answer.lender = d_->parts.holder;
    answer.borrower = borrower;
    answer.address = d_->parts.address();
    outgoing.push_back({d_->address_of[borrower], std::move(answer)});
  }
  return outgoing;
}

std::set<std::uint64_t> Lender::BucketsToList() const {
  std::set<std::uint64_t> buckets;
  for (const auto& [budget, asks] : d_->kept) {
    for (const auto& [borrower, ask] : asks) {
      if (!d_->IsListed(budget, borrower))
        buckets.insert(BucketOf(budget));
    }
  }
  return buckets;
}

std::set<std::string> Lender::BorrowersToList(std::uint64_t bucket) const {
  std::set<std::string> borrowers = d_->known;
  for (const auto& [budget, rows] : d_->loans) {
    if (BucketOf(budget) != bucket)
      continue;
    for (const auto& [borrower, loan] : rows) {
      if (loan.Open() > 0)
        borrowers.insert(borrower);
    }
  }
  return borrowers;
}

void Lender::ConfirmBorrowers(std::uint64_t bucket,
                              const std::set<std::string>& list) {
  d_->listed[bucket] = list;
}

bool Lender::HasLoans(const std::string& borrower) const {
  for (const auto& [budget, rows] : d_->loans) {
    auto it = rows.find(borrower);
    if (it != rows.end() && it->second.Open() > 0)
      return true;
  }
  return false;
}

void Lender::EndBorrower(const std::string& borrower,
                         const std::map<std::string, std::int64_t>& settled,
                         HostLedger& ledger) {
  d_->ended.insert(borrower);
  d_->known.erase(borrower);
  d_->address_of.erase(borrower);
  for (auto& [budget, rows] : d_->loans) {
    auto it = rows.find(borrower);
    if (it == rows.end())
      continue;
    auto found = settled.find(budget);
    LoanRequestItem last{budget, 0, 0, 0, it->second.totals};
    if (found != settled.end())
      last.totals.billed = found->second;
    d_->Merge(borrower, last, ledger);
    last.totals.returned = it->second.lent;
    d_->Merge(borrower, last, ledger);
    ledger.RecordUnlisted(budget, it->second.totals.billed);
    rows.erase(it);
  }
  for (auto& [budget, asks] : d_->kept)
    asks.erase(borrower);
}

bool Lender::HasEnded(const std::string& borrower) const {
  return d_->ended.contains(borrower);
}

std::map<std::string, std::map<std::string, std::int64_t>>
Lender::OutstandingLoans() const {
  std::map<std::string, std::map<std::string, std::int64_t>> figures;
  for (const auto& [budget, rows] : d_->loans) {
    for (const auto& [borrower, loan] : rows) {
      if (loan.Open() > 0)
        figures[budget][borrower] = loan.Open();
    }
  }
  return figures;
}

}  // namespace turmericwinch
