// The state that all requests of a gateway share.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>

#include "libs/base/log_rate_limiter.h"
#include "libs/budget/fleet_account.h"
#include "libs/gateway/gateway_config.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/gateway_dialect.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/gateway_settings.h"
#include "libs/gateway/link_load.h"
#include "libs/gateway/rate_limit_sharing.h"
#include "libs/gateway/request_quarantine.h"
#include "libs/gateway/response_memory.h"
#include "libs/gateway/service_demand.h"
#include "libs/gateway/service_retries.h"
#include "libs/gateway/store_news_exchange.h"
#include "libs/http/http_client.h"
#include "libs/node/node_metrics.h"
#include "libs/node/shared_ledger.h"
#include "libs/node/shared_targets.h"

namespace turmericwinch {

// Holds the current configuration. Thread-safe.
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

// Identifies the current boot of the host and measures the time since it. `id`
// is empty if the system reports none. The time includes suspended periods.
struct BootClock {
  std::string id;
  std::function<BootTime()> now;
};

BootClock SystemBootClock();

// Owned by the gateway and outlives all requests. `control` and `traffic` have
// one thread each.
struct GatewayContext {
  GatewayContext(GatewaySettings settings, GatewayDialect dialect);

  // Name of this incarnation of the host in the fleet account.
  std::string ledger_holder() const {
    return settings.host + "_" + incarnation;
  }

  // Recomputes and returns whether the network link is saturated, and logs a
  // change. Thread-safe.
  bool IsLinkSaturated();

  GatewaySettings settings;
  GatewayDialect dialect;
  std::string incarnation;
  BootClock boot = SystemBootClock();
  boost::asio::io_context control{1};
  boost::asio::io_context traffic{1};
  // Used on the traffic thread.
  HttpClient client{traffic, kMaxTargetConnectionAge};
  GatewayConfigHolder config;
  NodeMetrics metrics;
  SharedTargets targets;
  SharedLedger ledger;
  ServiceRetries retries;
  ServiceDemand demand;
  LinkLoad link;
  // Used on the traffic thread.
  LogRateLimiter load_header_log;
  ResponseMemory response_memory;
  GatewayPeers peers{control, settings};
  RequestQuarantine quarantine{control, peers};
  RateLimitSharing rate_limits{control, peers, targets, demand};
  StoreNewsExchange news{control, peers, settings.host, settings.failure_domain,
                         boot.now};
  // Whether the list of targets was received once.
  std::atomic<bool> targets_known{false};
  // Whether the evacuated failure domains are known, or there can be none.
  std::atomic<bool> evacuations_known{false};
  std::atomic<bool> draining{false};
  // Whether requests that arrive now are refused: what is left until the host
  // stops may be too short for them.
  std::atomic<bool> refuses_requests{false};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CONTEXT_H_
