// Decides how often a host tries to write the fleet account. Free of clocks and
// I/O.

#ifndef SRC_LIBS_BUDGET_ACCOUNT_WRITES_H_
#define SRC_LIBS_BUDGET_ACCOUNT_WRITES_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "libs/budget/demand_rate.h"

namespace turmericwinch {

// Smallest fleet in which hosts that keep no stock write less often.
inline constexpr std::size_t kMinHostsForSparseWrites = 16;
// Upper bound of the random pause after the first lost write; it doubles with
// each further one, up to kMaxConflictPauseDoublings times.
inline constexpr std::chrono::milliseconds kConflictPause{4};
inline constexpr int kMaxConflictPauseDoublings = 6;
// The same for a host that keeps no stock, for each host of the fleet.
inline constexpr std::chrono::milliseconds kConflictPausePerHost{20};
// Time between two draws for requests of a host that keeps no stock, for each
// host of the fleet. A write of the account takes some 30 ms with its transfer.
inline constexpr std::chrono::milliseconds kDirectDrawPausePerHost{50};

// Writes that a host loses before it asks another one to list it in the
// account, and the time for which it waits for that.
inline constexpr int kMaxRegistrationConflicts = 3;
inline constexpr std::chrono::seconds kIntroductionTime{3};

// A write of the account is lost if another host has written since the read. In
// a shortage every host of a large fleet would write at once, and the hosts
// that keep the stocks could not draw what all wait for. They therefore go
// first: the others draw for themselves rarely, and pause longer after a lost
// write.
//
// It answers the load after an outage of the store, in which stocks ran out.
class AccountWrites {
 public:
  // Sets the number of hosts, and whether others wait for the writes of this
  // one: it keeps a stock, or lists other hosts in the account.
  void SetFleet(std::size_t hosts, bool writes_for_others);
  // Whether this host may draw for its own requests now, and counts that it
  // does.
  bool MayDrawDirectly(MonotonicTime now);
  // Whether the host should ask another one to list it in the account, after
  // `conflicts` lost writes in a row. Hosts of a large fleet that keep no stock
  // ask first, as all hosts may have restarted together; `has_asked` is whether
  // this one did so in vain.
  bool ShouldBeIntroduced(int conflicts, bool has_asked) const;
  // Upper bound of the random pause after `conflicts` lost writes in a row.
  std::chrono::milliseconds MaxConflictPause(int conflicts) const;

 private:
  bool IsSparse() const;

  std::size_t hosts_ = 1;
  bool writes_for_others_ = true;
  std::optional<MonotonicTime> last_draw_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_ACCOUNT_WRITES_H_
