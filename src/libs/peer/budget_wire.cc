#include "libs/peer/budget_wire.h"

#include <cmath>
#include <utility>

namespace turmericwinch {

namespace {

constexpr int kLastOutcome = static_cast<int>(LoanOutcome::kRefused);

}  // namespace

wire::BudgetAsk ToWire(const LoanRequest& request) {
  wire::BudgetAsk result;
  result.borrower = request.borrower;
  result.lender = request.lender;
  result.reply_to = request.reply_to;
  for (const LoanRequestItem& it : request.items) {
    wire::LoanWish item;
    item.budget = it.budget;
    item.needed = it.needed;
    item.smallest = it.smallest;
    item.rate = it.rate;
    item.received = it.totals.received;
    item.billed = it.totals.billed;
    item.returned = it.totals.returned;
    result.wishes.push_back(std::move(item));
  }
  return result;
}

wire::BudgetAnswer ToWire(const LoanResponse& response) {
  wire::BudgetAnswer result;
  result.lender = response.lender;
  result.borrower = response.borrower;
  result.address = response.address;
  for (const LoanGrant& it : response.grants) {
    wire::LoanGrant grant;
    grant.budget = it.budget;
    grant.lent = it.lent;
    grant.known = it.known;
    grant.outcome = static_cast<std::int32_t>(it.outcome);
    result.grants.push_back(std::move(grant));
  }
  return result;
}

std::optional<LoanRequest> LoanRequestOf(const wire::BudgetAsk& wire) {
  if (wire.borrower.empty())
    return std::nullopt;
  LoanRequest request{wire.borrower, wire.lender, wire.reply_to, {}};
  for (const wire::LoanWish& it : wire.wishes) {
    if (it.budget.empty() || it.needed < 0 || it.smallest < 0 ||
        !std::isfinite(it.rate) || it.rate < 0 || it.received < 0 ||
        it.billed < 0 || it.returned < 0)
      return std::nullopt;
    request.items.push_back({it.budget,
                             it.needed,
                             it.smallest,
                             it.rate,
                             {it.received, it.billed, it.returned}});
  }
  return request;
}

std::optional<LoanResponse> LoanResponseOf(const wire::BudgetAnswer& wire) {
  if (wire.lender.empty())
    return std::nullopt;
  LoanResponse response{wire.lender, wire.borrower, wire.address, {}};
  for (const wire::LoanGrant& it : wire.grants) {
    if (it.budget.empty() || it.lent < 0 || it.known < 0 || it.outcome < 0 ||
        it.outcome > kLastOutcome)
      return std::nullopt;
    response.grants.push_back(
        {it.budget, it.lent, it.known, static_cast<LoanOutcome>(it.outcome)});
  }
  return response;
}

wire::HostIntroduction ToWire(const HostIntroduction& introduction) {
  wire::HostIntroduction result;
  result.holder = introduction.holder;
  result.boot_id = introduction.heartbeat.boot_id;
  result.boot_ms = introduction.heartbeat.time.count();
  result.address = introduction.heartbeat.address;
  result.domain = introduction.heartbeat.domain;
  result.link_mbps = introduction.heartbeat.link_mbps;
  result.ended = introduction.ended;
  return result;
}

std::optional<HostIntroduction> HostIntroductionOf(
    const wire::HostIntroduction& wire) {
  if (wire.holder.empty() || wire.address.empty() || wire.boot_ms < 0 ||
      wire.link_mbps < 0)
    return std::nullopt;
  // A process knows only of earlier processes of its own host that they ended.
  for (const std::string& it : wire.ended) {
    if (it == wire.holder || HostOfHolder(it) != HostOfHolder(wire.holder))
      return std::nullopt;
  }
  return HostIntroduction{wire.holder,
                          {wire.boot_id, BootTime(wire.boot_ms), wire.address,
                           wire.domain, wire.link_mbps},
                          wire.ended};
}

}  // namespace turmericwinch
