// One published configuration in the gateway's form. Immutable.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CONFIG_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libs/config/config_snapshot.h"
#include "libs/gateway/path_routes.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// `version` is set by the operator and only grows. `objects` holds teams,
// budgets, services and target classes; `routes` holds the routes by path.
struct GatewayConfig {
  std::uint64_t version = 0;
  std::shared_ptr<const ConfigSnapshot> objects;
  PathRoutes routes;
  HttpServerLimits limits{kHttpMostBodyBytes, 0};
  // Output tokens per stream event, by service.
  std::map<std::string, std::int64_t> tokens_per_event;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CONFIG_H_
