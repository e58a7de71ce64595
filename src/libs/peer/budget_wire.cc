#include "libs/peer/budget_wire.h"

#include <cmath>
#include <utility>

namespace turmericwinch {

namespace {

constexpr int kLastOutcome = static_cast<int>(LoanOutcome::kRefused);

}  // namespace

wire::BudgetAsk ToWire(const LoanRequest& ask) {
  wire::BudgetAsk result;
  result.borrower = ask.borrower;
  result.lender = ask.lender;
  result.reply_to = ask.reply_to;
  for (const LoanRequestItem& it : ask.items) {
    wire::LoanWish wish;
    wish.budget = it.budget;
    wish.needed = it.needed;
    wish.smallest = it.smallest;
    wish.rate = it.rate;
    wish.received = it.totals.received;
    wish.billed = it.totals.billed;
    wish.returned = it.totals.returned;
    result.wishes.push_back(std::move(wish));
  }
  return result;
}

wire::BudgetAnswer ToWire(const LoanResponse& answer) {
  wire::BudgetAnswer result;
  result.lender = answer.lender;
  result.borrower = answer.borrower;
  result.address = answer.address;
  for (const LoanGrant& it : answer.grants) {
    wire::LoanGrant grant;
    grant.budget = it.budget;
    grant.lent = it.lent;
    grant.known = it.known;
    grant.outcome = static_cast<std::int32_t>(it.outcome);
    result.grants.push_back(std::move(grant));
  }
  return result;
}

std::optional<LoanRequest> LoanAskOf(const wire::BudgetAsk& wire) {
  if (wire.borrower.empty())
    return std::nullopt;
  LoanRequest ask{wire.borrower, wire.lender, wire.reply_to, {}};
  for (const wire::LoanWish& it : wire.wishes) {
    if (it.budget.empty() || it.needed < 0 || it.smallest < 0 ||
        !std::isfinite(it.rate) || it.rate < 0 || it.received < 0 ||
        it.billed < 0 || it.returned < 0)
      return std::nullopt;
    ask.items.push_back({it.budget,
                         it.needed,
                         it.smallest,
                         it.rate,
                         {it.received, it.billed, it.returned}});
  }
  return ask;
}

std::optional<LoanResponse> LoanAnswerOf(const wire::BudgetAnswer& wire) {
  if (wire.lender.empty())
    return std::nullopt;
  LoanResponse answer{wire.lender, wire.borrower, wire.address, {}};
  for (const wire::LoanGrant& it : wire.grants) {
    if (it.budget.empty() || it.lent < 0 || it.known < 0 || it.outcome < 0 ||
        it.outcome > kLastOutcome)
      return std::nullopt;
    answer.grants.push_back(
        {it.budget, it.lent, it.known, static_cast<LoanOutcome>(it.outcome)});
  }
  return answer;
}

}  // namespace turmericwinch
