// What the configuration says of a request.

#ifndef SRC_LIBS_GATEWAY_RESOLVED_CALL_H_
#define SRC_LIBS_GATEWAY_RESOLVED_CALL_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// `config` keeps `route` and `team` alive. `team` is null on public routes and
// where the configuration has no teams.
struct ResolvedCall {
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point deadline;
  std::shared_ptr<const GatewayConfig> config;
  std::optional<GatewayCall> call;
  const PathRoute* route = nullptr;
  const TeamConfig* team = nullptr;
  std::string service;
  RoutingRequest wish;
};

// Finds configuration, route and team. False if the request is refused; then
// `resolved` has what was found before. On traffic threads. Reasons: kNoConfig,
// kBadRequest, kNotFound, kUnauthorized.
bool ResolveCall(GatewayContext& context,
                 const HttpRequest& request,
                 ResolvedCall& resolved,
                 Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RESOLVED_CALL_H_
