#include "libs/budget/host_ledger.h"

#include <algorithm>
#include <utility>

#include "libs/base/soft_assert.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/host_ledger_private.h"

namespace turmericwinch {

HostLedger::HostLedger(std::string holder)
    : d_(std::make_unique<Private>(std::move(holder))) {}

HostLedger::~HostLedger() = default;

Reservation HostLedger::Reserve(const std::string& name,
                                std::int64_t tokens,
                                MonotonicTime now) {
  TW_SOFT_ASSERT(tokens >= 0, return {});
  if (d_->fenced)
    return {ReserveOutcome::kFenced, 0};
  if (d_->bills.size() + d_->reservations.size() >= kMaxUnconfirmedBills)
    return {ReserveOutcome::kBillsFull, 0};
  LedgerBudget& budget = d_->budgets[name];
  budget.last_use = now;
  std::optional<std::string> lender = d_->FindSource(name, tokens);
  if (!lender)
    return {ReserveOutcome::kNeedsGrant, 0};
  (lender->empty() ? budget.reserved : budget.loans[*lender].reserved) +=
      tokens;
  budget.rate.AddTokens(tokens, now);
  const std::uint64_t id = d_->next_reservation++;
  d_->reservations.emplace(id,
                           OpenReservation{name, std::move(*lender), tokens});
  return {ReserveOutcome::kReserved, id};
}

// The own row is used first: its tokens were drawn because no lender answered.
std::optional<std::string> HostLedger::Private::FindSource(
    const std::string& name,
    std::int64_t tokens) const {
  auto budget = budgets.find(name);
  if (budget == budgets.end())
    return std::nullopt;
  if (budget->second.Available() >= tokens)
    return std::string();
  for (const auto& [lender, loan] : budget->second.loans) {
    if (loan.Available() >= tokens && !closed_lenders.contains(lender))
      return lender;
  }
  return std::nullopt;
}

const LedgerLoan* HostLedger::Private::LoanAt(const std::string& lender,
                                              const std::string& name) const {
  auto budget = budgets.find(name);
  if (budget == budgets.end())
    return nullptr;
  auto loan = budget->second.loans.find(lender);
  return loan == budget->second.loans.end() ? nullptr : &loan->second;
}

std::optional<Bill> HostLedger::Settle(std::uint64_t reservation,
                                       Bill bill,
                                       MonotonicTime now) {
  auto it = d_->reservations.find(reservation);
  if (it == d_->reservations.end())
    return std::nullopt;
  LedgerBudget& budget = d_->budgets[it->second.budget];
  const std::int64_t reserved_tokens = it->second.tokens;
  if (bill.tokens > reserved_tokens)
    d_->overrun_tokens =
        AddSaturated(d_->overrun_tokens, bill.tokens - reserved_tokens);
  bill.tokens = std::clamp<std::int64_t>(bill.tokens, 0, reserved_tokens);
  bill.budget = it->second.budget;
  bill.sequence = d_->next_sequence++;
  const std::string& lender = it->second.lender;
  if (lender.empty()) {
    budget.reserved -= reserved_tokens;
    budget.counters.settled += bill.tokens;
    budget.lent_rate.AddTokens(bill.tokens, now);
    bill.settled_total = budget.counters.settled;
  } else {
    LedgerLoan& loan = budget.loans[lender];
    loan.reserved -= reserved_tokens;
    loan.settled += bill.tokens;
    bill.settled_total = loan.settled;
  }
  bill.charged_to = lender;
  budget.last_use = now;
  if (d_->closed_lenders.contains(lender))
    d_->ReturnLoan(bill.budget, lender);
  d_->reservations.erase(it);
  d_->bills.push_back(bill);
  return bill;
}

bool HostLedger::Release(std::uint64_t reservation) {
  auto it = d_->reservations.find(reservation);
  if (it == d_->reservations.end())
    return false;
  LedgerBudget& budget = d_->budgets[it->second.budget];
  const std::string& lender = it->second.lender;
  (lender.empty() ? budget.reserved : budget.loans[lender].reserved) -=
      it->second.tokens;
  if (d_->closed_lenders.contains(lender))
    d_->ReturnLoan(it->second.budget, lender);
  d_->reservations.erase(it);
  return true;
}

void HostLedger::AddGrantRequest(const std::string& name, std::int64_t tokens) {
  LedgerBudget& budget = d_->budgets[name];
  const bool first = d_->requested_budgets.insert(name).second;
  budget.smallest_request =
      first ? tokens : std::min(budget.smallest_request, tokens);
  budget.requested = AddSaturated(budget.requested, tokens);
  budget.request_sizes.push_back(tokens);
}

std::vector<GrantRequest> HostLedger::TakeGrantRequests() {
  std::vector<GrantRequest> requests;
  for (const std::string& it : d_->requested_budgets) {
    LedgerBudget& budget = d_->budgets[it];
    const std::int64_t available =
        std::max<std::int64_t>(budget.Available(), 0);
    const std::int64_t needed = budget.requested - available;
    const std::int64_t smallest =
        std::max<std::int64_t>(budget.smallest_request - available, 0);
    std::vector<std::int64_t> sizes = std::exchange(budget.request_sizes, {});
    if (needed > 0)
      requests.push_back({it, needed, smallest, budget.rate.Value(),
                          budget.lent_rate.Value(), std::move(sizes)});
    budget.requested = 0;
  }
  d_->requested_budgets.clear();
  return requests;
}

void HostLedger::ApplyGrant(const std::string& name,
                            std::int64_t granted_total) {
  LedgerBudget& budget = d_->budgets[name];
  budget.counters.granted = std::max(budget.counters.granted, granted_total);
  budget.confirmed.granted = budget.counters.granted;
  if (granted_total > 0)
    d_->confirmed_budgets[BucketOf(name)].insert(name);
}

void HostLedger::Fence() {
  d_->fenced = true;
}

bool HostLedger::fenced() const {
  return d_->fenced;
}

void HostLedger::ForgetBucket(std::uint64_t bucket) {
  d_->fenced = true;
  for (const std::string& it : d_->confirmed_budgets[bucket]) {
    LedgerBudget& budget = d_->budgets[it];
    budget.counters = budget.confirmed = {};
    budget.billed = budget.lent = budget.lent_billed = budget.unlisted = 0;
    if (budget.loans.empty())
      d_->budgets.erase(it);
  }
  d_->confirmed_budgets.erase(bucket);
  d_->dirty.erase(bucket);
}

void HostLedger::GiveBackIdle(MonotonicTime now, bool all) {
  for (auto& [name, budget] : d_->budgets) {
    const bool unused = now - budget.last_use >= kGrantIdleTime;
    if (unused || all)
      d_->ReturnLoans(name);
    const bool stocked =
        budget.last_loan && now - *budget.last_loan < kStockIdleTime;
    if (all || (unused && !stocked))
      GiveBackAbove(name, 0);
  }
}

void HostLedger::GiveBackAbove(const std::string& name,
                               std::int64_t max_available) {
  auto it = d_->budgets.find(name);
  if (it == d_->budgets.end() || it->second.Available() <= max_available)
    return;
  it->second.counters.given_back += it->second.Available() - max_available;
  d_->MarkDirty(name);
}

std::map<std::string, HolderCounters> HostLedger::UnconfirmedCounters(
    std::uint64_t bucket) const {
  std::map<std::string, HolderCounters> counters;
  auto dirty = d_->dirty.find(bucket);
  if (dirty == d_->dirty.end())
    return counters;
  for (const std::string& it : dirty->second)
    counters.emplace(it, d_->budgets[it].Reported());
  return counters;
}

void HostLedger::ConfirmCounters(const std::string& name,
                                 const HolderCounters& counters) {
  LedgerBudget& budget = d_->budgets[name];
  budget.confirmed = counters;
  if (budget.confirmed != budget.Reported())
    return;
  auto dirty = d_->dirty.find(BucketOf(name));
  if (dirty == d_->dirty.end())
    return;
  dirty->second.erase(name);
  if (dirty->second.empty())
    d_->dirty.erase(dirty);
}

std::vector<std::string> HostLedger::ConfirmedBudgets(
    std::uint64_t bucket) const {
  auto it = d_->confirmed_budgets.find(bucket);
  if (it == d_->confirmed_budgets.end())
    return {};
  return {it->second.begin(), it->second.end()};
}

std::vector<std::uint64_t> HostLedger::HeldBuckets() const {
  std::vector<std::uint64_t> buckets;
  for (const auto& [bucket, names] : d_->confirmed_budgets)
    buckets.push_back(bucket);
  return buckets;
}

HolderCounters HostLedger::Counters(const std::string& name) const {
  auto it = d_->budgets.find(name);
  return it == d_->budgets.end() ? HolderCounters() : it->second.Reported();
}

std::vector<std::uint64_t> HostLedger::DirtyBuckets() const {
  std::vector<std::uint64_t> buckets;
  for (const auto& [bucket, names] : d_->dirty)
    buckets.push_back(bucket);
  return buckets;
}

std::vector<Bill> HostLedger::UnconfirmedBills(std::size_t max_count) const {
  const std::size_t n = std::min(max_count, d_->bills.size());
  return {d_->bills.begin(), d_->bills.begin() + static_cast<long>(n)};
}

void HostLedger::ConfirmBills(std::uint64_t sequence) {
  while (!d_->bills.empty() && d_->bills.front().sequence <= sequence) {
    const Bill& bill = d_->bills.front();
    LedgerBudget& budget = d_->budgets[bill.budget];
    if (bill.charged_to.empty()) {
      budget.billed = bill.settled_total;
      d_->MarkDirty(bill.budget);
    } else if (budget.loans.contains(bill.charged_to)) {
      budget.loans[bill.charged_to].billed = bill.settled_total;
      d_->unreported[bill.charged_to].insert(bill.budget);
    }
    d_->bills.pop_front();
  }
}

bool HostLedger::CanReserve(const std::string& name,
                            std::int64_t tokens) const {
  return !d_->fenced && d_->FindSource(name, tokens).has_value();
}

std::int64_t HostLedger::ReservableTokens(const std::string& name) const {
  auto budget = d_->budgets.find(name);
  if (d_->fenced || budget == d_->budgets.end())
    return 0;
  std::int64_t tokens = std::max<std::int64_t>(budget->second.Available(), 0);
  for (const auto& [lender, loan] : budget->second.loans) {
    if (!d_->closed_lenders.contains(lender))
      tokens =
          AddSaturated(tokens, std::max<std::int64_t>(loan.Available(), 0));
  }
  return tokens;
}

std::int64_t HostLedger::Available(const std::string& name) const {
  auto it = d_->budgets.find(name);
  return it == d_->budgets.end() ? 0 : it->second.Available();
}

std::map<std::string, LedgerSnapshot> HostLedger::Snapshot() const {
  std::map<std::string, LedgerSnapshot> figures;
  for (const auto& [name, it] : d_->budgets) {
    LedgerSnapshot& row = figures[name];
    row = {it.counters,    it.reserved, it.lent,
           it.lent_billed, {},          it.rate.Value()};
    for (const auto& [lender, loan] : it.loans)
      row.loans[lender] = {loan.Totals(), loan.settled, loan.reserved};
  }
  return figures;
}

std::size_t HostLedger::unconfirmed_bills() const {
  return d_->bills.size();
}

std::size_t HostLedger::open_reservations() const {
  return d_->reservations.size();
}

std::int64_t HostLedger::overrun_tokens() const {
  return d_->overrun_tokens;
}

const std::string& HostLedger::holder() const {
  return d_->holder;
}

}  // namespace turmericwinch
