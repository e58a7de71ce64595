#include "libs/node/plain_handler.h"

#include <boost/asio.hpp>
#include <set>

#include "libs/base/log.h"
#include "libs/delivery/attempt_id.h"
#include "libs/node/attempt_meter.h"
#include "libs/node/claimed_call.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"
#include "libs/node/target_probe.h"

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

// The call as its target gets it, but for the attempt's id. Names that callers
// choose are passed for the target's records only: two teams may choose the
// same.
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
  out.headers.Add("X-Caller-Request-Id", caller.request_id);
  if (!key.empty()) {
    out.headers.Add("Idempotency-Key", TargetKey(caller.team->name, key));
    out.headers.Add("X-Caller-Idempotency-Key", key);
  }
  return out;
}

// One call on its way to a target.
struct PlainCall {
  const RouteConfig* route = nullptr;
  // Whether it may be sent again though it may have run: a key forbids it.
  bool repeatable = false;
  HttpRequest request;
  RoutingRequest wish;
  std::chrono::steady_clock::time_point deadline;
  // Set for a call with a key.
  std::optional<ClaimSession> claim;
  RequestRecord* record = nullptr;
  std::string team;
};

HttpTimeouts TimeoutsUntil(std::chrono::steady_clock::time_point deadline) {
  HttpTimeouts timeouts;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  timeouts.first_byte = std::max(left, std::chrono::milliseconds(1));
  timeouts.between_bytes = timeouts.first_byte;
  return timeouts;
}

// Whether `response` names another attempt than `id`. Targets need not name
// any.
bool IsCrossed(const HttpResponse& response, const std::string& id) {
  const std::string_view answered = response.headers.Get("X-Request-Id");
  return !answered.empty() && answered != id;
}

// Sends the call to one target under the id of attempt `n`. An answer that
// names another is dropped, and the target's idle connections with it.
asio::awaitable<std::optional<HttpResponse>> SendAttempt(
    NodeContext& node,
    const PlainCall& call,
    int n,
    const asio::ip::tcp::endpoint& endpoint,
    std::size_t thread_index,
    HttpFailure* failure) {
  const std::string id = AttemptId(call.record->run_id, n);
  HttpRequest request = call.request;
  request.headers.Add("X-Request-Id", id);
  HttpClient& client = *node.clients[thread_index];
  std::optional<HttpResponse> response = co_await client.Call(
      endpoint, request, TimeoutsUntil(call.deadline), failure);
  if (!response || !IsCrossed(*response, id))
    co_return response;
  const bool late =
      IsAttemptOf(response->headers.Get("X-Request-Id"), call.record->run_id);
  node.metrics.CountEvent(late ? DeliveryEvent::kLateAnswer
                               : DeliveryEvent::kCrossedAnswer);
  client.DropIdle(endpoint);
  *failure = {
      HttpPhase::kFirstByte, true, false,
      late ? "it answered an earlier attempt" : "it answered another request"};
  co_return std::nullopt;
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

// What the quarantine knows the call by.
std::string DigestOf(const PlainCall& call) {
  std::string text = call.route->service;
  text += ' ';
  text += call.request.method;
  text += ' ';
  text += call.request.target;
  text += '\n';
  text += call.request.body;
  return QuarantineManager::RequestDigest(call.team, text);
}

bool IsQuarantined(NodeContext& node, const PlainCall& call) {
  return node.quarantine->HasSuspects() &&
         node.quarantine->IsQuarantined(DigestOf(call));
}

Reason QuarantineReason() {
  return {ResultCode::kQuarantined, "targets were lost that ran this request"};
}

asio::awaitable<std::optional<ReservedTokens>> Admit(
    NodeContext& node,
    const Caller& caller,
    const PlainCall& call,
    const ServiceConfig& service,
    Reason* reason) {
  if (IsQuarantined(node, call)) {
    *reason = QuarantineReason();
    co_return std::nullopt;
  }
  node.quarantine->OnRequest();
  co_return co_await ReserveTokens(node, caller, service, service.call_tokens,
                                   reason);
}

// Whether one more attempt may be made; if not `outcome` says why.
bool MayTryAgain(NodeContext& node,
                 const PlainCall& call,
                 PlainOutcome& outcome) {
  if (!IsQuarantined(node, call))
    return node.quarantine->TakeRetry();
  outcome.refusal = MakeRefusal(QuarantineReason(), outcome.refusal.ran);
  return false;
}

// Tells the quarantine how the attempt on `target` ended.
asio::awaitable<void> NoteEnd(NodeContext& node,
                              const PlainCall& call,
                              const PlainOutcome& outcome,
                              HttpFailure failure,
                              TargetChoice target,
                              std::size_t thread_index) {
  if (outcome.response) {
    if (node.quarantine->HasSuspects())
      node.quarantine->OnAnswered(DigestOf(call));
    co_return;
  }
  std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(target.address);
  if (!endpoint || failure.timed_out || !failure.may_have_arrived)
    co_return;
  const ProbeResult result = co_await ProbeTarget(*node.clients[thread_index],
                                                  *endpoint, failure, false);
  if (result == ProbeResult::kLost)
    node.quarantine->OnLost(DigestOf(call), target.name);
}

// Sends the call. A call that may not be repeated is tried on another target
// only if nothing can have reached the first.
asio::awaitable<PlainOutcome> Send(NodeContext& node,
                                   PlainCall& call,
                                   std::size_t thread_index) {
  PlainOutcome outcome;
  std::set<std::string> excluded;
  for (int n = 0; n < kTargetAttempts; ++n) {
    if (n > 0 && !MayTryAgain(node, call, outcome))
      co_return outcome;
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
      outcome.response = co_await SendAttempt(node, call, n + 1, *endpoint,
                                              thread_index, &failure);
    }
    meter->Judge(outcome.response ? AnswerOfStatus(outcome.response->status,
                                                   outcome.response->headers)
                                  : AnswerOfFailure(failure));
    meter.reset();
    co_await NoteEnd(node, call, outcome, failure, *choice, thread_index);
    const bool failed =
        !outcome.response || outcome.response->status >= kServerError;
    if (!failed || (outcome.response && !call.repeatable))
      co_return outcome;
    excluded.insert(choice->name);
    NoteFailure(*choice, failure, outcome);
    call.record->attempts.back().failure = outcome.refusal.reason.text;
    if (!call.repeatable && failure.may_have_arrived) {
      outcome.refusal.reason.code = ResultCode::kOutcomeUnknown;
      outcome.refusal.retry_after_s = 0;
      co_return outcome;
    }
  }
  co_return outcome;
}

asio::awaitable<void> RecordOutcome(NodeContext& node,
                                    const ClaimSession& claim,
                                    const PlainOutcome& outcome) {
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    co_await OnControl(node, node.claims->Complete(claim, outcome.response));
  else
    co_await OnControl(node, node.claims->Abandon(claim));
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
  std::optional<ClaimRequest> wish;
  if (!key.empty())
    wish = ClaimRequestOf(caller, request, key, route->deadline);
  PlainCall call;
  call.route = route;
  call.repeatable = route->repeatable && key.empty();
  call.deadline = start + route->deadline;
  call.record = caller.record.get();
  call.wish.service = service->name;
  call.wish.team = caller.team->name;
  call.wish.share = caller.team->share;
  call.request = TargetRequest(caller, request, target->path, key);
  call.team = caller.team->name;
  std::optional<ReservedTokens> reserved =
      co_await Admit(node, caller, call, *service, &reason);
  if (!reserved && !wish)
    co_return co_await Refuse(caller, MakeRefusal(reason), exchange);
  if (wish) {
    ClaimResult answer;
    if (reserved)
      answer = co_await OnControl(node, node.claims->Acquire(*wish));
    else
      answer = co_await FindUnpaid(node, *wish, reason);
    if (answer.stored_response)
      co_return co_await Replay(caller, std::move(*answer.stored_response),
                                exchange);
    if (!answer.session) {
      co_return co_await Refuse(caller, MakeRefusal(answer.reason, answer.ran),
                                exchange);
    }
    call.claim = std::move(answer.session);
  }
  PlainOutcome outcome = co_await Send(node, call, exchange.thread_index());
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    reserved->Settle(caller, service->name, service->call_tokens);
  if (call.claim)
    co_await RecordOutcome(node, *call.claim, outcome);
  co_return co_await Answer(caller, std::move(outcome), exchange);
}

}  // namespace turmericwinch
