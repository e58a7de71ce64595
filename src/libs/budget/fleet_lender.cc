#include "libs/budget/fleet_lender.h"

#include <utility>

namespace turmericwinch {

FleetLender::FleetLender(std::string holder, std::string address)
    : holder_(std::move(holder)), address_(std::move(address)) {}

LoanResponse FleetLender::HandleRequest(const LoanRequest& request,
                                        HostLedger& ledger,
                                        MonotonicTime now) {
  LoanResponse response{holder_, request.borrower, address_, {}};
  // The totals refer to an earlier process at this address, not to the loans of
  // this one.
  if (!request.lender.empty() && request.lender != holder_)
    return response;
  for (const LoanRequestItem& it : request.items)
    response.grants.push_back(
        HandleItem(it, loans_[{request.borrower, it.budget}], ledger, now));
  return response;
}

LoanGrant FleetLender::HandleItem(const LoanRequestItem& item,
                                  Loan& loan,
                                  HostLedger& ledger,
                                  MonotonicTime now) const {
  const std::int64_t newly_returned = item.totals.returned - loan.returned;
  if (newly_returned > 0 && item.totals.returned <= loan.lent) {
    ledger.ReduceLent(item.budget, 0, newly_returned);
    loan.returned = item.totals.returned;
  }
  LoanGrant grant{item.budget, loan.lent, item.totals.Sum(), LoanOutcome::kOk};
  const bool has_received_all = item.totals.received >= loan.lent;
  if (item.needed <= 0 || !has_received_all)
    return grant;
  if (ledger.Lend(item.budget, item.needed, now))
    loan.lent += item.needed;
  else if (ledger.Lend(item.budget, item.smallest, now))
    loan.lent += item.smallest;
  else
    grant.outcome = LoanOutcome::kShort;
  grant.lent = loan.lent;
  return grant;
}

}  // namespace turmericwinch
