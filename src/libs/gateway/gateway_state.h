// Metrics and a state dump of a gateway, for operators.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_STATE_H_
#define SRC_LIBS_GATEWAY_GATEWAY_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "libs/gateway/account_stats.h"
#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// The evacuated failure domains, the version of the store that they are known
// for, not set if none, and the time since the store confirmed them, nullopt if
// they are not known.
struct EvacuationStats {
  std::set<std::string> domains;
  StoreVersion version;
  std::optional<std::chrono::milliseconds> age;
};

// Values that are collected from the gateway's parts at one time.
struct GatewayStats {
  bool is_ready = false;
  std::size_t callers = 0;
  std::size_t active_requests = 0;
  std::size_t listed_targets = 0;
  // Time since the last successful sync of the account, and since the last
  // answer of the store to a request for the targets.
  std::chrono::milliseconds account_age{0};
  std::chrono::milliseconds targets_age{0};
  AccountStats account;
  // Set if the deployment has evacuations.
  std::optional<EvacuationStats> evacuations;
};

// Returns counters and histograms of requests, and `stats` as gauges, in the
// Prometheus text exposition format. The number of series does not grow with
// teams, budgets or hosts. Thread-safe.
std::string MetricsText(GatewayContext& context, const GatewayStats& stats);

// Returns the state as JSON: configuration, targets, queues and budgets.
// Thread-safe.
std::string StateText(GatewayContext& context, const GatewayStats& stats);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_STATE_H_
