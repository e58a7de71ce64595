// What a gateway knows, for operators.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_STATE_H_
#define SRC_LIBS_GATEWAY_GATEWAY_STATE_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// Figures that the gateway's parts hold, taken at one time.
struct GatewayFigures {
  bool is_ready = false;
  std::size_t callers = 0;
  std::size_t active_requests = 0;
  std::size_t listed_targets = 0;
  // Since the host last read or wrote the account; since its last list of
  // targets.
  std::chrono::milliseconds account_age{0};
  std::chrono::milliseconds targets_age{0};
};

// Counters and histograms of requests, and the figures as gauges, in text
// exposition format. The number of series does not grow with teams, budgets or
// hosts. Safe from any thread.
std::string MetricsText(GatewayContext& context, const GatewayFigures& figures);

// The whole state as JSON: configuration, targets, queues, budgets. Safe from
// any thread.
std::string StateText(GatewayContext& context, const GatewayFigures& figures);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_STATE_H_
