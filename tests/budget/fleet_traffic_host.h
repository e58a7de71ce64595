// A host of the fleet that FleetTrafficRun simulates.

#ifndef TESTS_BUDGET_FLEET_TRAFFIC_HOST_H_
#define TESTS_BUDGET_FLEET_TRAFFIC_HOST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/budget/account_writes.h"
#include "libs/budget/demand_rate.h"
#include "libs/budget/fleet_holder.h"
#include "libs/budget/fleet_lender.h"
#include "libs/budget/loan_search.h"

namespace turmericwinch {

inline constexpr std::chrono::seconds kFleetTrafficDemandWindow{8};
inline constexpr std::chrono::milliseconds kFleetTrafficRefreshPause{1'000};

// A request that waits for tokens.
struct WaitingRequest {
  std::string team;
  std::int64_t cost;
  // Whether no host of the domain lent tokens for it.
  bool draws_directly = false;
};

// Tokens of a team that a host's requests and borrowers have used so far.
struct FleetTrafficDemand {
  DemandRate rate{kFleetTrafficDemandWindow};
  std::int64_t used = 0;
};

// One host of the simulated fleet.
struct FleetTrafficHost {
  FleetTrafficHost(int n, std::string domain, std::int64_t link_mbps)
      : id("host-" + std::to_string(n) + "_1"),
        address(id + ":1"),
        domain(std::move(domain)),
        link_mbps(link_mbps),
        holder(id, "boot", address, this->domain, link_mbps),
        ledger(id),
        lender(id, address),
        search(id, address) {}

  std::string id;
  std::string address;
  std::string domain;
  std::int64_t link_mbps;
  FleetHolder holder;
  HostLedger ledger;
  FleetLender lender;
  LoanSearch search;
  AccountWrites writes;
  bool is_stopped = false;
  // Whether the store answered this host's last call.
  bool is_reachable = true;
  bool is_syncing = false;
  bool sync_requested = false;
  std::uint64_t version = 0;
  std::map<int, WaitingRequest> waiting;
  // Requests of other hosts that wait for a draw.
  std::vector<LoanRequest> deferred;
  // Teams of which other hosts borrowed tokens that this host had to draw.
  std::set<std::string> lent_teams;
  std::map<std::string, FleetTrafficDemand> demands;
  std::chrono::microseconds introduced_until{0};
  bool has_asked = false;
  std::chrono::microseconds next_refresh{0};
  std::chrono::milliseconds refresh_pause = kFleetTrafficRefreshPause;
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FLEET_TRAFFIC_HOST_H_
