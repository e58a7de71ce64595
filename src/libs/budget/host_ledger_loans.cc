// The lender's and the borrower's side of HostLedger.

#include <algorithm>

#include "libs/base/soft_assert.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/host_ledger_private.h"

namespace turmericwinch {

// What is borrowed and not reserved goes back to its lender.
void HostLedger::Private::ReturnLoan(const std::string& name,
                                     const std::string& lender) {
  auto loan = budgets[name].loans.find(lender);
  if (loan == budgets[name].loans.end() || loan->second.Available() <= 0)
    return;
  loan->second.returned += loan->second.Available();
  unreported[lender].insert(name);
}

void HostLedger::Private::ReturnLoans(const std::string& name) {
  for (const auto& [lender, loan] : budgets[name].loans)
    ReturnLoan(name, lender);
}

bool HostLedger::Lend(const std::string& name,
                      std::int64_t tokens,
                      MonotonicTime now) {
  TW_SOFT_ASSERT(tokens >= 0, return false);
  auto it = d_->budgets.find(name);
  if (d_->fenced || it == d_->budgets.end() || it->second.Available() < tokens)
    return false;
  it->second.lent += tokens;
  it->second.last_loan = now;
  return true;
}

void HostLedger::RecordLoanDemand(const std::string& name,
                                  std::int64_t tokens,
                                  MonotonicTime now) {
  d_->budgets[name].lent_rate.AddTokens(tokens, now);
}

void HostLedger::ReduceLent(const std::string& name,
                            std::int64_t billed,
                            std::int64_t returned) {
  LedgerBudget& budget = d_->budgets[name];
  TW_SOFT_ASSERT(
      billed >= 0 && returned >= 0 && billed + returned <= budget.lent,
      return );
  budget.lent -= billed + returned;
  budget.lent_billed += billed;
  if (billed > 0)
    d_->MarkDirty(name);
}

void HostLedger::RecordUnlisted(const std::string& name,
                                std::int64_t billed_total) {
  if (billed_total <= 0)
    return;
  d_->budgets[name].unlisted += billed_total;
  d_->MarkDirty(name);
}

bool HostLedger::ApplyLoan(const std::string& lender,
                           const std::string& name,
                           std::int64_t lent_total) {
  if (d_->closed_lenders.contains(lender))
    return false;
  LedgerLoan& loan = d_->budgets[name].loans[lender];
  d_->loans[lender].insert(name);
  if (lent_total <= loan.received)
    return false;
  loan.received = lent_total;
  d_->unreported[lender].insert(name);
  return true;
}

void HostLedger::ConfirmLoan(const std::string& lender,
                             const std::string& name,
                             std::int64_t known) {
  auto it = d_->unreported.find(lender);
  if (it == d_->unreported.end() || !it->second.contains(name))
    return;
  LedgerLoan& loan = d_->budgets[name].loans[lender];
  loan.known = std::max(loan.known, known);
  if (loan.known < loan.Totals().Sum())
    return;
  it->second.erase(name);
  if (it->second.empty())
    d_->unreported.erase(it);
}

std::map<std::string, LoanTotals> HostLedger::UnreportedLoans(
    const std::string& lender) const {
  std::map<std::string, LoanTotals> totals;
  auto it = d_->unreported.find(lender);
  if (it == d_->unreported.end())
    return totals;
  for (const std::string& name : it->second)
    totals.emplace(name, LoanOf(lender, name));
  return totals;
}

LoanTotals HostLedger::LoanOf(const std::string& lender,
                              const std::string& name) const {
  const LedgerLoan* loan = d_->LoanAt(lender, name);
  return loan ? loan->Totals() : LoanTotals();
}

std::vector<std::string> HostLedger::Lenders() const {
  std::vector<std::string> lenders;
  for (const auto& [lender, names] : d_->loans)
    lenders.push_back(lender);
  return lenders;
}

void HostLedger::ReturnLoans(const std::string& lender) {
  auto it = d_->loans.find(lender);
  if (it == d_->loans.end())
    return;
  for (const std::string& name : it->second)
    d_->ReturnLoan(name, lender);
}

void HostLedger::CloseLender(const std::string& lender) {
  d_->closed_lenders.insert(lender);
  ReturnLoans(lender);
}

std::vector<GrantRequest> HostLedger::StockRequests(std::uint64_t bucket,
                                                    MonotonicTime now) {
  std::vector<GrantRequest> wishes;
  for (const std::string& name : ConfirmedBudgets(bucket)) {
    LedgerBudget& budget = d_->budgets[name];
    if (!budget.last_loan)
      continue;
    budget.lent_rate.Decay(now);
    const double stock =
        budget.lent_rate.Value() * static_cast<double>(kStockHorizon.count());
    if (static_cast<double>(budget.Available()) < stock * kLowStockShare)
      wishes.push_back(
          {name, 0, 0, budget.rate.Value(), budget.lent_rate.Value()});
  }
  return wishes;
}

bool HostLedger::IsClosedWith(const std::string& lender) const {
  if (!d_->closed_lenders.contains(lender))
    return false;
  auto it = d_->loans.find(lender);
  if (it == d_->loans.end())
    return true;
  for (const std::string& name : it->second) {
    const LedgerLoan* loan = d_->LoanAt(lender, name);
    if (loan && (loan->reserved != 0 || loan->billed != loan->settled))
      return false;
  }
  return true;
}

void HostLedger::ForgetLoans(const std::string& lender) {
  TW_SOFT_ASSERT(IsClosedWith(lender), return );
  auto it = d_->loans.find(lender);
  if (it == d_->loans.end())
    return;
  for (const std::string& name : it->second)
    d_->budgets[name].loans.erase(lender);
  d_->loans.erase(it);
  d_->unreported.erase(lender);
}

std::int64_t HostLedger::AvailableFrom(const std::string& lender,
                                       const std::string& name) const {
  const LedgerLoan* loan = d_->LoanAt(lender, name);
  return loan && !d_->closed_lenders.contains(lender) ? loan->Available() : 0;
}

double HostLedger::LentRate(const std::string& name, MonotonicTime now) {
  auto it = d_->budgets.find(name);
  if (it == d_->budgets.end())
    return 0;
  it->second.lent_rate.Decay(now);
  return it->second.lent_rate.Value();
}

}  // namespace turmericwinch
