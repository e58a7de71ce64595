#include "libs/budget/host_ledger.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <unordered_map>

#include "libs/base/soft_assert.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

constexpr std::chrono::duration<double> kRateWindow{30.0};

// Demand averaged with exponential decay over kRateWindow.
class DemandRate {
 public:
  void Add(std::int64_t tokens, MonotonicTime now) {
    Decay(now);
    rate_ += static_cast<double>(tokens) / kRateWindow.count();
  }
  double Value() const { return rate_; }
  void Decay(MonotonicTime now) {
    if (now <= last_)
      return;
    const std::chrono::duration<double> elapsed = now - last_;
    rate_ *= std::exp(-elapsed / kRateWindow);
    last_ = now;
  }

 private:
  double rate_ = 0;
  MonotonicTime last_;
};

struct LedgerBudget {
  HolderCounters counters;
  HolderCounters confirmed;
  // What the confirmed bills come to.
  std::int64_t billed = 0;
  std::int64_t reserved = 0;
  std::int64_t wished = 0;
  std::int64_t smallest_wish = 0;
  DemandRate rate;
  MonotonicTime last_use;

  // The platform learns of spend only with its bills.
  HolderCounters Reported() const {
    return {counters.granted, billed, counters.given_back};
  }
  std::int64_t Available() const { return counters.Outstanding() - reserved; }
};

struct OpenReservation {
  std::string budget;
  std::int64_t tokens = 0;
};

}  // namespace

class HostLedger::Private {
 public:
  explicit Private(std::string holder) : holder(std::move(holder)) {}

  void MarkDirty(const std::string& name) {
    dirty[BucketOf(name)].insert(name);
  }

  std::string holder;
  std::unordered_map<std::string, LedgerBudget> budgets;
  std::unordered_map<std::uint64_t, OpenReservation> reservations;
  std::map<std::uint64_t, std::set<std::string>> dirty;
  // Budgets of which the platform confirmed a grant, by bucket.
  std::map<std::uint64_t, std::set<std::string>> held;
  std::set<std::string> wishes;
  std::deque<Bill> bills;
  std::uint64_t next_reservation = 1;
  std::uint64_t next_sequence = 1;
  std::int64_t overrun_tokens = 0;
  bool fenced = false;
};

HostLedger::HostLedger(std::string holder)
    : d_(std::make_unique<Private>(std::move(holder))) {}

HostLedger::~HostLedger() = default;

Reservation HostLedger::Reserve(const std::string& name,
                                std::int64_t tokens,
                                MonotonicTime now) {
  TW_SOFT_ASSERT(tokens >= 0, return {});
  if (d_->fenced)
    return {ReserveOutcome::kFenced, 0};
  if (d_->bills.size() + d_->reservations.size() >= kMostUnconfirmedBills)
    return {ReserveOutcome::kBillsFull, 0};
  LedgerBudget& budget = d_->budgets[name];
  budget.last_use = now;
  if (budget.Available() < tokens)
    return {ReserveOutcome::kNeedsGrant, 0};
  budget.rate.Add(tokens, now);
  budget.reserved += tokens;
  const std::uint64_t id = d_->next_reservation++;
  d_->reservations.emplace(id, OpenReservation{name, tokens});
  return {ReserveOutcome::kReserved, id};
}

std::optional<Bill> HostLedger::Settle(std::uint64_t reservation,
                                       Bill bill,
                                       MonotonicTime now) {
  auto it = d_->reservations.find(reservation);
  if (it == d_->reservations.end())
    return std::nullopt;
  LedgerBudget& budget = d_->budgets[it->second.budget];
  const std::int64_t held = it->second.tokens;
  if (bill.tokens > held)
    d_->overrun_tokens = AddSaturated(d_->overrun_tokens, bill.tokens - held);
  bill.tokens = std::clamp<std::int64_t>(bill.tokens, 0, held);
  bill.budget = it->second.budget;
  bill.sequence = d_->next_sequence++;
  budget.reserved -= held;
  budget.counters.settled += bill.tokens;
  bill.settled_total = budget.counters.settled;
  budget.last_use = now;
  d_->reservations.erase(it);
  d_->bills.push_back(bill);
  return bill;
}

bool HostLedger::Release(std::uint64_t reservation) {
  auto it = d_->reservations.find(reservation);
  if (it == d_->reservations.end())
    return false;
  d_->budgets[it->second.budget].reserved -= it->second.tokens;
  d_->reservations.erase(it);
  return true;
}

void HostLedger::AddWish(const std::string& name, std::int64_t tokens) {
  LedgerBudget& budget = d_->budgets[name];
  const bool first = d_->wishes.insert(name).second;
  budget.smallest_wish =
      first ? tokens : std::min(budget.smallest_wish, tokens);
  budget.wished = AddSaturated(budget.wished, tokens);
}

std::vector<GrantWish> HostLedger::TakeWishes() {
  std::vector<GrantWish> wishes;
  for (const std::string& it : d_->wishes) {
    LedgerBudget& budget = d_->budgets[it];
    const std::int64_t available =
        std::max<std::int64_t>(budget.Available(), 0);
    const std::int64_t needed = budget.wished - available;
    const std::int64_t smallest =
        std::max<std::int64_t>(budget.smallest_wish - available, 0);
    if (needed > 0)
      wishes.push_back({it, needed, smallest, budget.rate.Value()});
    budget.wished = 0;
  }
  d_->wishes.clear();
  return wishes;
}

void HostLedger::ApplyGrant(const std::string& name,
                            std::int64_t granted_total) {
  LedgerBudget& budget = d_->budgets[name];
  budget.counters.granted = std::max(budget.counters.granted, granted_total);
  budget.confirmed.granted = budget.counters.granted;
  if (granted_total > 0)
    d_->held[BucketOf(name)].insert(name);
}

void HostLedger::Fence() {
  d_->fenced = true;
}

bool HostLedger::fenced() const {
  return d_->fenced;
}

void HostLedger::Forget(std::uint64_t bucket) {
  d_->fenced = true;
  for (const std::string& it : d_->held[bucket])
    d_->budgets.erase(it);
  d_->held.erase(bucket);
  d_->dirty.erase(bucket);
}

void HostLedger::GiveBackIdle(MonotonicTime now, bool all) {
  for (auto& [name, budget] : d_->budgets) {
    const bool idle = now - budget.last_use >= kGrantIdle;
    const std::int64_t available = budget.Available();
    if (available <= 0 || !(idle || all))
      continue;
    budget.counters.given_back += available;
    d_->MarkDirty(name);
  }
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
  auto it = d_->held.find(bucket);
  if (it == d_->held.end())
    return {};
  return {it->second.begin(), it->second.end()};
}

std::vector<std::uint64_t> HostLedger::HeldBuckets() const {
  std::vector<std::uint64_t> buckets;
  for (const auto& [bucket, names] : d_->held)
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

std::vector<Bill> HostLedger::UnconfirmedBills(std::size_t most) const {
  const std::size_t n = std::min(most, d_->bills.size());
  return {d_->bills.begin(), d_->bills.begin() + static_cast<long>(n)};
}

void HostLedger::ConfirmBills(std::uint64_t sequence) {
  while (!d_->bills.empty() && d_->bills.front().sequence <= sequence) {
    const Bill& bill = d_->bills.front();
    d_->budgets[bill.budget].billed = bill.settled_total;
    d_->MarkDirty(bill.budget);
    d_->bills.pop_front();
  }
}

std::int64_t HostLedger::Available(const std::string& name) const {
  auto it = d_->budgets.find(name);
  return it == d_->budgets.end() ? 0 : it->second.Available();
}

std::map<std::string, LedgerFigures> HostLedger::Figures() const {
  std::map<std::string, LedgerFigures> figures;
  for (const auto& [name, it] : d_->budgets)
    figures[name] = {it.counters, it.reserved, it.rate.Value()};
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
