// One account that all hosts of a fleet draw on, without a shard for each
// failure domain. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
#define SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/reason.h"

namespace turmericwinch {

// Name of the account's object.
inline constexpr char kFleetAccountName[] = "fleet-account";

// Time since the machine booted, suspended time included. It goes on over
// restarts of the process, but not of the machine.
using BootTime = std::chrono::milliseconds;

// When, on the machine's own clock, a holder issued its last write. The boot id
// tells one boot of a machine from all others. `address` is where other hosts
// reach the holder, IP:PORT; empty if it takes no loans and makes none.
struct FleetHeartbeat {
  std::string boot_id;
  BootTime time{0};
  std::string address;

  bool operator==(const FleetHeartbeat&) const = default;
};

// Tokens of one budget at one holder, an incarnation of a host. `granted` and
// `given_back` are totals. Of what it holds, the holder may have spent up to
// `opened`; it spends more only once it has been out of touch with the store
// for kOpenAllDelay.
struct FleetRow {
  std::int64_t granted = 0;
  std::int64_t given_back = 0;
  std::int64_t opened = 0;

  // Tokens that nobody else may use.
  std::int64_t Held() const { return granted - given_back; }
  bool operator==(const FleetRow&) const = default;
};

// One budget; `closed` is what holders that ended are charged with.
struct FleetBudget {
  std::int64_t closed = 0;
  std::map<std::string, FleetRow> rows;

  // Tokens of `paid` that no holder has; negative once `paid` was lowered below
  // what is held.
  std::int64_t Free(std::int64_t paid) const;
  // Tokens that are spent at most, but by holders that are out of touch.
  std::int64_t Spent() const;
};

struct FleetAccount {
  std::map<std::string, FleetBudget> budgets;
  std::map<std::string, FleetHeartbeat> heartbeats;

  // Different hosts that have a mark. Holders are named HOST_INCARNATION.
  int HostCount() const;
};

std::string ToJson(const FleetAccount& account);
std::optional<FleetAccount> ParseFleetAccount(std::string_view text,
                                              Reason* reason);

// Time without a write that may have taken effect, after which a holder may
// spend what it has not opened. Cuts that last longer than this are survived by
// the whole stock, shorter ones by what is open.
inline constexpr BootTime kOpenAllDelay{2'500};

// Removes the rows of earlier incarnations of `holder`'s host, which have
// ended, as the start of `holder` shows: a host runs one process. `now` is the
// time after that start. Each is charged with what it opened if its last mark
// is at most kOpenAllDelay old on the same boot, so that it cannot have
// spent more; else with all that it held.
void CloseEarlierIncarnations(FleetAccount& account,
                              const std::string& holder,
                              const FleetHeartbeat& now);

// Ends `holder` itself, which has spent `spent` by budget and spends no more.
void CloseHolder(FleetAccount& account,
                 const std::string& holder,
                 const std::map<std::string, std::int64_t>& spent);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
