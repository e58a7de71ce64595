#include "libs/gateway/resolved_call.h"

#include <algorithm>
#include <random>

#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

// Parts of a prompt that other requests may share: all but the request's own.
constexpr std::size_t kOwnParts = 1;

std::uint32_t Draw() {
  static thread_local std::minstd_rand random{std::random_device{}()};
  return static_cast<std::uint32_t>(random());
}

RoutingRequest WishOf(const ResolvedCall& resolved) {
  RoutingRequest wish;
  wish.service = resolved.service;
  if (resolved.team) {
    wish.team = resolved.team->name;
    wish.share = resolved.team->share;
  }
  const GatewayCall& call = *resolved.call;
  if (call.tokens)
    wish.prompt_tokens = call.tokens->prompt;
  for (std::size_t n = 0; n + kOwnParts < call.parts.size(); ++n) {
    wish.prefix = Hash64(std::to_string(call.parts[n].id), wish.prefix);
    wish.prefix_tokens += call.parts[n].tokens;
  }
  return wish;
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
  resolved.call = context.dialect.decode(request, reason);
  if (!resolved.call)
    return false;
  const GatewayCall& call = *resolved.call;
  resolved.route = resolved.config->routes.Find(call.host, call.path);
  if (!resolved.route) {
    *reason = {ResultCode::kNotFound, "no route matches the host and path"};
    return false;
  }
  const ConfigSnapshot& objects = *resolved.config->objects;
  if (!call.key.empty())
    resolved.team = objects.TeamOfKeyHash(Sha256Hex(call.key));
  if (!resolved.team && !resolved.route->is_public &&
      !objects.teams().empty()) {
    *reason = {ResultCode::kUnauthorized, "the key is not known"};
    return false;
  }
  resolved.deadline = resolved.start + resolved.route->timeout;
  if (call.time_left) {
    resolved.deadline =
        std::min(resolved.deadline, resolved.start + *call.time_left);
  }
  resolved.service = ServiceOf(*resolved.route, Draw());
  resolved.wish = WishOf(resolved);
  return true;
}

}  // namespace turmericwinch
