#include "libs/node/plain_handler.h"

#include <boost/asio.hpp>
#include <set>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};
constexpr std::string_view kPrefix = "/services/";
constexpr int kServerError = 500;

// A call's service and the path below it.
struct PlainTarget {
  std::string service;
  std::string path;
};

std::optional<PlainTarget> SplitTarget(std::string_view target) {
  if (!target.starts_with(kPrefix))
    return std::nullopt;
  target.remove_prefix(kPrefix.size());
  const std::size_t slash = target.find('/');
  if (slash == std::string_view::npos || slash == 0)
    return std::nullopt;
  return PlainTarget{std::string(target.substr(0, slash)),
                     std::string(target.substr(slash))};
}

// Outcome of all attempts of one call.
struct PlainOutcome {
  std::optional<HttpResponse> response;
  Refusal refusal;
};

HttpRequest TargetRequest(const Caller& caller,
                          const HttpRequest& request,
                          const std::string& path,
                          const std::string& key) {
  HttpRequest out;
  out.method = request.method;
  out.target = path;
  out.body = request.body;
  std::string_view type = request.headers.Get("Content-Type");
  if (!type.empty())
    out.headers.Add("Content-Type", std::string(type));
  out.headers.Add("X-Request-Id", caller.request_id);
  if (!key.empty())
    out.headers.Add("Idempotency-Key", key);
  return out;
}

// Sends the call. A call that may not be repeated is tried on another target
// only if nothing can have reached the first.
asio::awaitable<PlainOutcome> Send(NodeContext& node,
                                   const RouteConfig& route,
                                   const HttpRequest& out,
                                   std::size_t thread_index) {
  PlainOutcome outcome;
  std::set<std::string> excluded;
  HttpTimeouts timeouts;
  timeouts.first_byte = route.deadline;
  timeouts.between_bytes = route.deadline;
  for (int n = 0; n < kTargetAttempts; ++n) {
    Reason reason;
    std::optional<TargetChoice> choice =
        node.targets->Begin(route.service, excluded, &reason);
    if (!choice) {
      if (n == 0)
        outcome.refusal = MakeRefusal(reason);
      co_return outcome;
    }
    HttpFailure failure;
    std::optional<asio::ip::tcp::endpoint> endpoint =
        ParseEndpoint(choice->address);
    if (endpoint) {
      outcome.response = co_await node.clients[thread_index]->Call(
          *endpoint, out, timeouts, &failure);
    }
    node.targets->End(*choice);
    const bool failed =
        !outcome.response || outcome.response->status >= kServerError;
    if (!failed || (outcome.response && !route.repeatable))
      co_return outcome;
    excluded.insert(choice->name);
    outcome.refusal = MakeRefusal(
        {ResultCode::kTargetFailed,
         "target " + choice->name + " failed: " + failure.text},
        failure.may_have_arrived ? RanState::kUnknown : RanState::kNotRun);
    if (!route.repeatable && failure.may_have_arrived) {
      outcome.refusal.reason.code = ResultCode::kOutcomeUnknown;
      outcome.refusal.retry_after_s = 0;
      co_return outcome;
    }
  }
  co_return outcome;
}

// Claims and completions run on the control thread.
template <typename T>
asio::awaitable<T> OnControl(NodeContext& node, asio::awaitable<T> action) {
  co_return co_await asio::co_spawn(node.control, std::move(action),
                                    asio::use_awaitable);
}

asio::awaitable<void> RecordOutcome(NodeContext& node,
                                    const Claim& claim,
                                    const std::string& digest,
                                    const PlainOutcome& outcome) {
  if (outcome.response) {
    co_await OnControl(node,
                       node.claims->Complete(claim, digest, *outcome.response));
  } else if (outcome.refusal.ran == RanState::kNotRun) {
    co_await OnControl(node, node.claims->Abandon(claim));
  }
}

asio::awaitable<ResultCode> Refuse(const Caller& caller,
                                   const Refusal& refusal,
                                   HttpExchange& exchange) {
  co_await exchange.Send(RefusalResponse(refusal, caller.request_id));
  co_return refusal.reason.code;
}

}  // namespace

asio::awaitable<ResultCode> HandlePlain(NodeContext& node,
                                        const Caller& caller,
                                        const HttpRequest& request,
                                        HttpExchange& exchange) {
  Reason reason{ResultCode::kNotFound, "no route matches " + request.target};
  std::optional<PlainTarget> target = SplitTarget(request.target);
  if (!target)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  const RouteConfig* route = caller.config->Route(
      target->service, PathOf(target->path), request.method);
  const ServiceConfig* service = caller.config->Service(target->service);
  if (!route || !service)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  const std::string key(request.headers.Get("Idempotency-Key"));
  if (!route->repeatable && key.empty()) {
    reason = {ResultCode::kKeyRequired,
              "this call may not run twice and needs an Idempotency-Key"};
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  }
  std::optional<ReservedTokens> reserved = co_await ReserveTokens(
      node, caller, *service, service->call_tokens, &reason);
  if (!reserved)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  const std::string digest =
      Sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
  std::optional<Claim> claim;
  if (!route->repeatable) {
    ClaimAnswer answer = co_await OnControl(
        node, node.claims->Take(caller.team->name, key, digest));
    if (answer.kept) {
      answer.kept->headers.Add("X-Request-Id", caller.request_id);
      co_await exchange.Send(*answer.kept);
      co_return ResultCode::kOk;
    }
    if (!answer.claim) {
      co_return co_await Refuse(caller, MakeRefusal(answer.reason, answer.ran),
                                exchange);
    }
    claim = std::move(answer.claim);
  }
  const HttpRequest out = TargetRequest(caller, request, target->path, key);
  PlainOutcome outcome =
      co_await Send(node, *route, out, exchange.thread_index());
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    reserved->Settle(caller, service->name, service->call_tokens);
  if (claim)
    co_await RecordOutcome(node, *claim, digest, outcome);
  if (!outcome.response) {
    LogEvent(kLog, Severity::kWarning, "call_failed",
             {{"request", caller.request_id},
              {"reason", outcome.refusal.reason.text}});
    co_return co_await Refuse(caller, outcome.refusal, exchange);
  }
  HttpResponse response;
  response.status = outcome.response->status;
  response.body = std::move(outcome.response->body);
  response.headers.Add(
      "Content-Type",
      std::string(outcome.response->headers.Get("Content-Type")));
  response.headers.Add("X-Request-Id", caller.request_id);
  const bool sent = co_await exchange.Send(response);
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

}  // namespace turmericwinch
