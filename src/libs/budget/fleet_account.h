// The budget account of a fleet whose hosts all draw from one stored object,
// without a shard per failure domain. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
#define SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// Name of the account's object in the store.
inline constexpr char kFleetAccountName[] = "fleet-account";

// Time since the host booted, including suspended time. It continues across
// restarts of the process and starts again at 0 when the host reboots.
using BootTime = std::chrono::milliseconds;

// The time, on the host's own boot clock, at which a holder issued its last
// write. `boot_id` identifies one boot of the host. `address` (IP:PORT) is
// where other hosts reach the holder; empty if it neither lends nor borrows.
// `domain` is the host's failure domain, empty if unknown, and `link_mbps` the
// bandwidth of its network link, 0 if unknown.
struct FleetHeartbeat {
  std::string boot_id;
  BootTime time{0};
  std::string address;
  std::string domain;
  std::int64_t link_mbps = 0;

  bool operator==(const FleetHeartbeat&) const = default;
};

// Tokens of one budget at one holder, which is an incarnation of a host.
// `granted` and `given_back` are running totals. The holder may have spent up
// to `opened` of the tokens that it holds. It spends more only after it has
// had no contact with the store for kOpenAllDelay.
struct FleetRow {
  std::int64_t granted = 0;
  std::int64_t given_back = 0;
  std::int64_t opened = 0;

  // Tokens that no other holder may use.
  std::int64_t Held() const { return granted - given_back; }
  bool operator==(const FleetRow&) const = default;
};

// One budget. `closed` is the total charged to holders that have ended.
// `peak_rate` is the highest rate, in tokens per second, at which the holders
// drew tokens, not counting their first draws.
struct FleetBudget {
  std::int64_t closed = 0;
  std::int64_t peak_rate = 0;
  std::map<std::string, FleetRow> rows;

  // Tokens of `paid` that no holder holds. Negative if `paid` was lowered below
  // the sum of the held tokens.
  std::int64_t Free(std::int64_t paid) const;
  // Upper bound of the tokens spent, not counting unopened tokens spent by
  // holders without contact to the store.
  std::int64_t Spent() const;
};

// What a holder that has ended was charged, of the tokens that were `granted`
// to it in all.
struct FleetCharge {
  std::int64_t charged = 0;
  std::int64_t granted = 0;

  bool operator==(const FleetCharge&) const = default;
};

// A holder that has ended, with its charges by budget.
struct FleetClosing {
  std::string holder;
  std::map<std::string, FleetCharge> charges;

  bool operator==(const FleetClosing&) const = default;
};

// Closings that the account keeps. They matter only if the store comes back
// from a copy that is older than the closing.
inline constexpr std::size_t kMaxFleetClosings = 32;

// Host of the holder HOST_INCARNATION.
std::string_view HostOfHolder(std::string_view holder);

struct FleetAccount {
  std::map<std::string, FleetBudget> budgets;
  std::map<std::string, FleetHeartbeat> heartbeats;
  // The last holders that have ended, oldest first. Their charges are part of
  // FleetBudget::closed.
  std::vector<FleetClosing> closings;
  // Era of the store in which the account was written, see StoreVersion, and
  // whether the hosts have added what they remembered of earlier eras.
  std::uint64_t era = 0;
  bool is_settled = false;
  // Whether some host remembered an earlier era when the account was first
  // written in this one.
  bool is_remembered = false;

  // Number of distinct hosts with a heartbeat. Holders are named
  // HOST_INCARNATION.
  int HostCount() const;
};

std::string ToJson(const FleetAccount& account);
std::optional<FleetAccount> ParseFleetAccount(std::string_view text,
                                              Reason* reason);

// A holder may spend its unopened tokens once its last write that may have
// taken effect is older than this. Outages of the store that last longer are
// bridged by all tokens that the host holds, shorter ones by the open tokens.
inline constexpr BootTime kOpenAllDelay{2'500};

// Time after the return of a store from an old copy in which the hosts that
// reach it add what they remember. They call it at least every 300 ms.
inline constexpr BootTime kSettleTime{2'000};

// Maximum age of a copy from which the store comes back, and the factor by
// which draws since then may exceed the peak rate.
inline constexpr std::chrono::seconds kMaxCopyAge{15};
inline constexpr double kUnknownDrawFactor = 1.5;
// Shortest time over which the rate of draws is measured.
inline constexpr BootTime kDrawRateWindow{4'000};

// Holders of earlier incarnations of `holder`'s host that the account lists or
// that have rows in it. A host runs one process, so they have ended once
// `holder` has started.
std::vector<std::string> EarlierIncarnations(const FleetAccount& account,
                                             const std::string& holder);

// Removes the rows of `ended`, earlier incarnations of a host. `now` is a time
// of the host's process after their end. One is charged with the tokens that it
// opened if its last heartbeat is from the same boot and at most kOpenAllDelay
// old, because it cannot have spent more. Otherwise it is charged with all
// tokens that it held.
void CloseEnded(FleetAccount& account,
                const std::vector<std::string>& ended,
                const FleetHeartbeat& now);

// Removes the row of `holder` itself and charges `spent`, the tokens it spent
// by budget. The holder must not spend any more.
void CloseHolder(FleetAccount& account,
                 const std::string& holder,
                 const std::map<std::string, std::int64_t>& spent);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
