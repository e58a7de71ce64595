// A host's own account of the tokens granted to it: reservations, bills, and
// the counters that go to the platform. Free of clocks, threads and sockets.

#ifndef SRC_LIBS_BUDGET_HOST_LEDGER_H_
#define SRC_LIBS_BUDGET_HOST_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

// Time since an arbitrary start, never set back by a change of the clock.
using MonotonicTime = std::chrono::steady_clock::time_point;

enum class ReserveOutcome {
  kReserved,
  // More tokens must be granted first.
  kNeedsGrant,
  // Too many bills wait for the platform.
  kBillsFull,
  // The holder was closed; only a new incarnation of the host may spend.
  kFenced,
};

// Answer to a request for a reservation; `id` is set if it was reserved.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kNeedsGrant;
  std::uint64_t id = 0;
};

// A budget for which the host wants more tokens.
struct GrantWish {
  std::string budget;
  // For all requests that wait.
  std::int64_t needed = 0;
  // For the smallest of them.
  std::int64_t smallest = 0;
  double rate = 0;
};

// Figures of one budget for dumps.
struct LedgerFigures {
  HolderCounters counters;
  std::int64_t reserved = 0;
  double rate = 0;
};

// Only granted tokens can be reserved: settled + reserved + given back never
// exceed what was granted, whatever order the calls come in.
class HostLedger {
 public:
  // `holder` names this incarnation of the host in the platform's objects.
  explicit HostLedger(std::string holder);
  ~HostLedger();

  // Reserves `tokens` of `budget`, an upper bound of a request's cost.
  Reservation Reserve(const std::string& budget,
                      std::int64_t tokens,
                      MonotonicTime now);

  // Ends a reservation with what was used. `bill.tokens` is held to the
  // reservation; what was above it is counted in overrun_tokens(). Nothing if
  // the reservation is not open, as when it is settled twice.
  std::optional<Bill> Settle(std::uint64_t reservation,
                             Bill bill,
                             MonotonicTime now);

  // Ends a reservation of a request that did not run.
  bool Release(std::uint64_t reservation);

  // Notes that a request waits for `tokens` of `budget`.
  void AddWish(const std::string& budget, std::int64_t tokens);
  // Wishes since the last call, by budget.
  std::vector<GrantWish> TakeWishes();

  // Takes over what the platform holds for this host. Counters only grow.
  void ApplyGrant(const std::string& budget, std::int64_t granted_total);

  // Stops all reservations for good: the holder was closed.
  void Fence();
  bool fenced() const;
  // Forgets the budgets of `bucket` after the holder closed itself there, and
  // fences: its counters must not start again from 0.
  void Forget(std::uint64_t bucket);

  // Offers tokens of budgets without a request since kGrantIdle, and, at
  // shutdown, of all, by raising their given_back.
  void GiveBackIdle(MonotonicTime now, bool all);

  // Counters of the budgets of `bucket` that the platform does not have yet.
  std::map<std::string, HolderCounters> UnconfirmedCounters(
      std::uint64_t bucket) const;
  // Notes that the platform has `counters`.
  void ConfirmCounters(const std::string& budget,
                       const HolderCounters& counters);
  // Budgets of `bucket` of which the platform confirmed a grant.
  std::vector<std::string> ConfirmedBudgets(std::uint64_t bucket) const;
  // Buckets of which the platform confirmed a grant.
  std::vector<std::uint64_t> HeldBuckets() const;
  // The counters of one budget for the platform: spend counts once its bills
  // are confirmed, so that nothing is charged without a bill.
  HolderCounters Counters(const std::string& budget) const;
  // Buckets with unconfirmed counters.
  std::vector<std::uint64_t> DirtyBuckets() const;

  // Oldest bills that are not confirmed, at most `most`.
  std::vector<Bill> UnconfirmedBills(std::size_t most) const;
  // Forgets bills up to `sequence`.
  void ConfirmBills(std::uint64_t sequence);

  // Tokens that can be reserved now.
  std::int64_t Available(const std::string& budget) const;
  std::map<std::string, LedgerFigures> Figures() const;
  std::size_t unconfirmed_bills() const;
  std::size_t open_reservations() const;
  std::int64_t overrun_tokens() const;
  const std::string& holder() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOST_LEDGER_H_
