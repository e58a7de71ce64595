#include "libs/budget/fleet_lender.h"

#include <utility>

namespace turmericwinch {

FleetLender::FleetLender(std::string holder, std::string address)
    : holder_(std::move(holder)), address_(std::move(address)) {}

LoanResponse FleetLender::HandleRequest(const LoanRequest& ask,
                                        HostLedger& ledger,
                                        MonotonicTime now) {
  LoanResponse answer{holder_, ask.borrower, address_, {}};
  // Totals of another holder, an earlier process at this address, say nothing
  // of this one's loans.
  if (!ask.lender.empty() && ask.lender != holder_)
    return answer;
  for (const LoanRequestItem& it : ask.items)
    answer.grants.push_back(
        Answer(it, loans_[{ask.borrower, it.budget}], ledger, now));
  return answer;
}

LoanGrant FleetLender::Answer(const LoanRequestItem& wish,
                              Loan& loan,
                              HostLedger& ledger,
                              MonotonicTime now) const {
  const std::int64_t back = wish.totals.returned - loan.returned;
  if (back > 0 && wish.totals.returned <= loan.lent) {
    ledger.ReduceLent(wish.budget, 0, back);
    loan.returned = wish.totals.returned;
  }
  LoanGrant grant{wish.budget, loan.lent, wish.totals.Sum(), LoanOutcome::kOk};
  const bool knows_all = wish.totals.received >= loan.lent;
  if (wish.needed <= 0 || !knows_all)
    return grant;
  if (ledger.Lend(wish.budget, wish.needed, now))
    loan.lent += wish.needed;
  else if (ledger.Lend(wish.budget, wish.smallest, now))
    loan.lent += wish.smallest;
  else
    grant.outcome = LoanOutcome::kShort;
  grant.lent = loan.lent;
  return grant;
}

}  // namespace turmericwinch
