#include "libs/gateway/resolved_call.h"

#include <algorithm>
#include <random>

#include "libs/base/digest.h"
#include "libs/routing/allowed_domains.h"

namespace turmericwinch {

namespace {

std::uint32_t RandomNumber() {
  static thread_local std::minstd_rand random{std::random_device{}()};
  return static_cast<std::uint32_t>(random());
}

RoutingRequest MakeRoutingRequest(
    const ResolvedCall& resolved,
    const std::map<std::string, std::string>& domain_regions) {
  RoutingRequest request;
  static const std::vector<std::string> every_region;
  request.domains = AllowedDomains(
      resolved.route->regions,
      resolved.team ? resolved.team->regions : every_region, domain_regions);
  request.service = resolved.service;
  if (resolved.team) {
    request.team = resolved.team->name;
    request.share = resolved.team->share;
  }
  const GatewayCall& call = *resolved.call;
  if (call.tokens) {
    request.prompt_tokens = call.tokens->prompt;
    request.max_output_tokens = call.tokens->max_output;
  }
  for (const PromptPart& it : SharedParts(call)) {
    request.prefix = Hash64(std::to_string(it.id), request.prefix);
    request.prefix_tokens += it.tokens;
  }
  return request;
}

}  // namespace

bool ResolveCall(GatewayContext& context,
                 const HttpRequest& request,
                 ResolvedCall& resolved,
                 Reason* reason) {
  resolved.config = context.config.Get();
  if (!resolved.config) {
    *reason = {ResultCode::kNoConfig, "this host has no configuration yet"};
    return false;
  }
  resolved.call = context.dialect.decode_request(request, reason);
  if (!resolved.call)
    return false;
  const GatewayCall& call = *resolved.call;
  resolved.route = resolved.config->routes.FindRoute(call.host, call.path);
  if (!resolved.route) {
    *reason = {ResultCode::kNotFound,
               "no route of the configuration matches the host and path"};
    return false;
  }
  const ConfigSnapshot& objects = *resolved.config->objects;
  if (!call.api_key.empty())
    resolved.team = objects.TeamOfKeyHash(Sha256Hex(call.api_key));
  if (!resolved.team && !resolved.route->is_public &&
      !objects.teams().empty()) {
    *reason = {ResultCode::kUnauthorized, "the API key belongs to no team"};
    return false;
  }
  resolved.deadline = resolved.start + resolved.route->timeout;
  if (call.time_left) {
    resolved.deadline =
        std::min(resolved.deadline, resolved.start + *call.time_left);
  }
  resolved.service = ChooseService(*resolved.route, RandomNumber());
  resolved.routing_request =
      MakeRoutingRequest(resolved, context.settings.domain_regions);
  return true;
}

}  // namespace turmericwinch
