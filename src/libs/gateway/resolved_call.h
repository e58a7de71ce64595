// A request together with its route, team and service in the configuration.

#ifndef SRC_LIBS_GATEWAY_RESOLVED_CALL_H_
#define SRC_LIBS_GATEWAY_RESOLVED_CALL_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// `config` owns `route` and `team`. `team` is null if no team has the caller's
// key, which is allowed on public routes and in a configuration without teams.
struct ResolvedCall {
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point deadline;
  std::shared_ptr<const GatewayConfig> config;
  std::optional<GatewayCall> call;
  const PathRoute* route = nullptr;
  const TeamConfig* team = nullptr;
  std::string service;
  RoutingRequest routing_request;
};

// Finds the configuration, route and team of a request. Returns false if the
// request is refused; `resolved` then holds what was found before. Called on
// traffic threads. Reasons: kNoConfig, kBadRequest, kNotFound, kUnauthorized.
bool ResolveCall(GatewayContext& context,
                 const HttpRequest& request,
                 ResolvedCall& resolved,
                 Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RESOLVED_CALL_H_
