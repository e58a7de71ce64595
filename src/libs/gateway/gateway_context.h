// The parts of a gateway that its requests work with.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>

#include "libs/budget/fleet_account.h"
#include "libs/gateway/gateway_config.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/gateway_dialect.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/gateway_settings.h"
#include "libs/gateway/request_quarantine.h"
#include "libs/gateway/service_retries.h"
#include "libs/http/http_client.h"
#include "libs/node/node_metrics.h"
#include "libs/node/shared_ledger.h"
#include "libs/node/shared_targets.h"

namespace turmericwinch {

// Holds the configuration in force; safe from any thread.
class GatewayConfigHolder {
 public:
  std::shared_ptr<const GatewayConfig> Get() const {
    std::lock_guard lock(mutex_);
    return config_;
  }
  void Set(std::shared_ptr<const GatewayConfig> config) {
    std::lock_guard lock(mutex_);
    config_ = std::move(config);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const GatewayConfig> config_;
};

// The machine's boot: its id, empty if the system tells none, and the time
// since it, which goes on while the machine is suspended.
struct BootClock {
  std::string id;
  std::function<BootTime()> now;
};

BootClock MachineBootClock();

// Owned by the gateway and outlives all requests. `control` and `traffic` have
// one thread each.
struct GatewayContext {
  GatewayContext(GatewaySettings settings, GatewayDialect dialect);

  // Name of this incarnation of the host in the account.
  std::string ledger_holder() const {
    return settings.host + "_" + incarnation;
  }

  GatewaySettings settings;
  GatewayDialect dialect;
  std::string incarnation;
  BootClock boot = MachineBootClock();
  boost::asio::io_context control{1};
  boost::asio::io_context traffic{1};
  // On the traffic thread.
  HttpClient client{traffic, kTargetConnectionAge};
  GatewayConfigHolder config;
  NodeMetrics metrics;
  SharedTargets targets;
  SharedLedger ledger;
  ServiceRetries retries;
  GatewayPeers peers{control, settings};
  RequestQuarantine quarantine{control, peers};
  std::atomic<bool> targets_known{false};
  std::atomic<bool> draining{false};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_
