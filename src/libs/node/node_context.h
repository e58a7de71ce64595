// The parts of a node that its request handlers use.

#ifndef SRC_LIBS_NODE_NODE_CONTEXT_H_
#define SRC_LIBS_NODE_NODE_CONTEXT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "libs/http/http_client.h"
#include "libs/node/budget_manager.h"
#include "libs/node/claim_manager.h"
#include "libs/node/config_holder.h"
#include "libs/node/config_watcher.h"
#include "libs/node/fleet_manager.h"
#include "libs/node/host_list_poller.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_metrics.h"
#include "libs/node/node_settings.h"
#include "libs/node/quarantine_manager.h"
#include "libs/node/request_log.h"
#include "libs/node/shared_answers.h"
#include "libs/node/shared_ledger.h"
#include "libs/node/shared_limits.h"
#include "libs/node/shared_targets.h"
#include "libs/platform/http_platform_client.h"

namespace turmericwinch {

// Owned by the node and outlives all handlers. `control` runs on one thread;
// each context of `traffic` has its own thread and its own client.
struct NodeContext {
  NodeSettings settings;
  std::string incarnation;
  boost::asio::io_context control{1};
  std::vector<std::unique_ptr<boost::asio::io_context>> traffic;
  std::vector<std::unique_ptr<HttpClient>> clients;
  ConfigHolder config;
  NodeMetrics metrics;
  RequestLog requests{kMaxLoggedRequests};
  SharedAnswers answers;
  std::unique_ptr<SharedTargets> targets;
  SharedLimits limits;
  std::unique_ptr<SharedLedger> ledger;
  std::unique_ptr<HttpPlatformClient> platform;
  std::unique_ptr<FleetManager> fleet;
  std::unique_ptr<ConfigWatcher> config_watcher;
  std::unique_ptr<HostListPoller> host_list;
  std::unique_ptr<ClaimManager> claims;
  std::unique_ptr<QuarantineManager> quarantine;
  std::unique_ptr<BudgetManager> budgets;
  // Starts a graceful shutdown; set by the node, called on the control thread.
  std::function<void()> start_shutdown;
  std::atomic<bool> shutting_down{false};
  std::atomic<bool> targets_known{false};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_CONTEXT_H_
