#include "libs/node/plain_handler.h"

#include <boost/asio.hpp>
#include <set>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/node/attempt_meter.h"
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

// Outcome of all attempts of one call. `refusal.ran` speaks for all of them.
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

// One call on its way to a target.
struct PlainCall {
  const RouteConfig* route = nullptr;
  HttpRequest request;
  TargetWish wish;
  std::chrono::steady_clock::time_point deadline;
  // Set for a call that may not be repeated.
  std::optional<ClaimSession> claim;
  RequestRecord* record = nullptr;
};

HttpTimeouts TimeoutsUntil(std::chrono::steady_clock::time_point deadline) {
  HttpTimeouts timeouts;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  timeouts.first_byte = std::max(left, std::chrono::milliseconds(1));
  timeouts.between_bytes = timeouts.first_byte;
  return timeouts;
}

// Notes a failed attempt. Once one may have run, the call may have.
void NoteFailure(const TargetChoice& choice,
                 const HttpFailure& failure,
                 PlainOutcome& outcome) {
  std::string text = "target " + choice.name;
  text += outcome.response
              ? " answered " + std::to_string(outcome.response->status)
              : " failed: " + failure.text;
  const bool may_have_run = outcome.response || failure.may_have_arrived ||
                            outcome.refusal.ran != RanState::kNotRun;
  outcome.refusal =
      MakeRefusal({ResultCode::kTargetFailed, std::move(text)},
                  may_have_run ? RanState::kUnknown : RanState::kNotRun);
}

// Sends the call. A call that may not be repeated is tried on another target
// only if nothing can have reached the first.
asio::awaitable<PlainOutcome> Send(NodeContext& node,
                                   PlainCall& call,
                                   std::size_t thread_index) {
  PlainOutcome outcome;
  std::set<std::string> excluded;
  for (int n = 0; n < kTargetAttempts; ++n) {
    Reason reason;
    std::optional<TargetChoice> choice;
    if (n == 0)
      choice = co_await node.targets->Wait(call.wish, call.deadline, &reason);
    else
      choice = node.targets->Begin(call.wish, excluded, &reason);
    if (!choice) {
      if (n == 0)
        outcome.refusal = MakeRefusal(reason);
      co_return outcome;
    }
    std::optional<AttemptMeter> meter(std::in_place, *node.targets, *choice);
    call.record->attempts.push_back({choice->name, ""});
    HttpFailure failure;
    std::optional<asio::ip::tcp::endpoint> endpoint =
        ParseEndpoint(choice->address);
    if (call.claim && !call.claim->MaySend(std::chrono::steady_clock::now())) {
      outcome.refusal = MakeRefusal(call.claim->reason(), call.claim->ran());
      co_return outcome;
    }
    outcome.response.reset();
    if (endpoint) {
      outcome.response = co_await node.clients[thread_index]->Call(
          *endpoint, call.request, TimeoutsUntil(call.deadline), &failure);
    }
    meter->Judge(outcome.response ? AnswerOfStatus(outcome.response->status,
                                                   outcome.response->headers)
                                  : AnswerOfFailure(failure));
    meter.reset();
    const bool failed =
        !outcome.response || outcome.response->status >= kServerError;
    if (!failed || (outcome.response && !call.route->repeatable))
      co_return outcome;
    excluded.insert(choice->name);
    NoteFailure(*choice, failure, outcome);
    call.record->attempts.back().failure = outcome.refusal.reason.text;
    if (!call.route->repeatable && failure.may_have_arrived) {
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
                                    const ClaimSession& claim,
                                    const PlainOutcome& outcome) {
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    co_await OnControl(node, node.claims->Complete(claim, outcome.response));
  else
    co_await OnControl(node, node.claims->Abandon(claim));
}

asio::awaitable<ResultCode> Refuse(const Caller& caller,
                                   const Refusal& refusal,
                                   HttpExchange& exchange) {
  caller.record->reason = refusal.reason.text;
  co_await exchange.Send(RefusalResponse(refusal, caller.request_id));
  co_return refusal.reason.code;
}

asio::awaitable<ResultCode> Replay(const Caller& caller,
                                   HttpResponse kept,
                                   HttpExchange& exchange) {
  kept.headers.Add("X-Request-Id", caller.request_id);
  const bool sent = co_await exchange.Send(kept);
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

// The answer when the budget has no tokens: a retry of a call that ran is
// still told so, since it costs nothing.
asio::awaitable<ResultCode> RefuseUnpaid(NodeContext& node,
                                         const Caller& caller,
                                         const std::optional<ClaimWish>& wish,
                                         const Reason& reason,
                                         HttpExchange& exchange) {
  ClaimAnswer found;
  if (wish)
    found = co_await OnControl(node, node.claims->Find(*wish));
  if (found.kept)
    co_return co_await Replay(caller, std::move(*found.kept), exchange);
  if (found.reason.code != ResultCode::kOk) {
    co_return co_await Refuse(caller, MakeRefusal(found.reason, found.ran),
                              exchange);
  }
  co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
}

// Gives the caller what the targets answered.
asio::awaitable<ResultCode> Answer(const Caller& caller,
                                   PlainOutcome outcome,
                                   HttpExchange& exchange) {
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

}  // namespace

asio::awaitable<ResultCode> HandlePlain(NodeContext& node,
                                        const Caller& caller,
                                        const HttpRequest& request,
                                        HttpExchange& exchange) {
  const auto start = std::chrono::steady_clock::now();
  Reason reason{ResultCode::kNotFound, "no route matches " + request.target};
  std::optional<PlainTarget> target = SplitTarget(request.target);
  if (!target)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  const RouteConfig* route = caller.config->Route(
      target->service, PathOf(target->path), request.method);
  const ServiceConfig* service = caller.config->Service(target->service);
  if (!route || !service)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  if (!MayCall(*route, *caller.team)) {
    reason = {
        ResultCode::kForbidden,
        "route " + route->name + " is not open to team " + caller.team->name};
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  }
  const std::string key(request.headers.Get("Idempotency-Key"));
  if (!route->repeatable && key.empty()) {
    reason = {ResultCode::kKeyRequired,
              "this call may not run twice and needs an Idempotency-Key"};
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  }
  std::optional<ClaimWish> wish;
  if (!route->repeatable) {
    const std::string digest =
        Sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
    wish = ClaimWish{caller.team->name, key, digest, route->deadline};
  }
  std::optional<ReservedTokens> reserved = co_await ReserveTokens(
      node, caller, *service, service->call_tokens, &reason);
  if (!reserved)
    co_return co_await RefuseUnpaid(node, caller, wish, reason, exchange);
  PlainCall call;
  call.route = route;
  call.deadline = start + route->deadline;
  call.record = caller.record.get();
  call.wish.service = service->name;
  call.wish.team = caller.team->name;
  call.wish.share = caller.team->share;
  call.request = TargetRequest(caller, request, target->path, key);
  if (wish) {
    ClaimAnswer answer = co_await OnControl(node, node.claims->Take(*wish));
    if (answer.kept)
      co_return co_await Replay(caller, std::move(*answer.kept), exchange);
    if (!answer.held) {
      co_return co_await Refuse(caller, MakeRefusal(answer.reason, answer.ran),
                                exchange);
    }
    call.claim = std::move(answer.held);
  }
  PlainOutcome outcome = co_await Send(node, call, exchange.thread_index());
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    reserved->Settle(caller, service->name, service->call_tokens);
  if (call.claim)
    co_await RecordOutcome(node, *call.claim, outcome);
  co_return co_await Answer(caller, std::move(outcome), exchange);
}

}  // namespace turmericwinch
