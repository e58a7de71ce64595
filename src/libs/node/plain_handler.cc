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

// The service that a call addresses and the path within the service.
struct ServicePath {
  std::string service;
  std::string path;
};

std::optional<ServicePath> ParseServicePath(std::string_view target) {
  if (!target.starts_with(kPrefix))
    return std::nullopt;
  target.remove_prefix(kPrefix.size());
  const std::size_t slash = target.find('/');
  if (slash == std::string_view::npos || slash == 0)
    return std::nullopt;
  return ServicePath{std::string(target.substr(0, slash)),
                     std::string(target.substr(slash))};
}

// Outcome of all attempts of one call. `refusal.ran` covers all of them.
struct PlainOutcome {
  std::optional<HttpResponse> response;
  Refusal refusal;
};

// Returns the request for a target, without the attempt's id. The request id
// and the key that the caller chose are passed on for the target's records
// only, as two teams may choose the same ones.
HttpRequest MakeTargetRequest(const Caller& caller,
                              const HttpRequest& request,
                              const std::string& path,
                              const std::string& key) {
  HttpRequest result;
  result.method = request.method;
  result.target = path;
  result.body = request.body;
  std::string_view type = request.headers.Get("Content-Type");
  if (!type.empty())
    result.headers.Add("Content-Type", std::string(type));
  result.headers.Add("X-Caller-Request-Id", caller.request_id);
  if (!key.empty()) {
    result.headers.Add("Idempotency-Key", TargetKey(caller.team->name, key));
    result.headers.Add("X-Caller-Idempotency-Key", key);
  }
  return result;
}

// A call to a plain service and the state of its attempts.
struct PlainCall {
  const RouteConfig* route = nullptr;
  // Whether the call may be sent again although it may have run; never true for
  // a call with an idempotency key.
  bool repeatable = false;
  HttpRequest request;
  RoutingRequest routing_request;
  std::chrono::steady_clock::time_point deadline;
  // Set for a call with an idempotency key.
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

// Whether `response` carries the id of an attempt other than `id`. Targets need
// not send an id.
bool NamesOtherAttempt(const HttpResponse& response, const std::string& id) {
  const std::string_view answered = response.headers.Get("X-Request-Id");
  return !answered.empty() && answered != id;
}

// Sends the call to one target with the id of attempt `n`. A response that
// carries another attempt's id is discarded, and the idle connections to the
// target are closed.
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
  if (!response || !NamesOtherAttempt(*response, id))
    co_return response;
  const bool late =
      IsAttemptOf(response->headers.Get("X-Request-Id"), call.record->run_id);
  node.metrics.CountEvent(late ? DeliveryEvent::kLateAnswer
                               : DeliveryEvent::kCrossedAnswer);
  client.CloseIdleConnections(endpoint);
  *failure = {
      HttpPhase::kFirstByte, true, false,
      late ? "it answered an earlier attempt" : "it answered another request"};
  co_return std::nullopt;
}

// Records a failed attempt. If any attempt may have run, the call may have run.
void RecordFailure(const TargetChoice& choice,
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

// Returns the digest that identifies the call in the quarantine.
std::string QuarantineDigestOf(const PlainCall& call) {
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
         node.quarantine->IsQuarantined(QuarantineDigestOf(call));
}

Reason QuarantineReason() {
  return {ResultCode::kQuarantined,
          "the request is quarantined: targets ended while running it"};
}

asio::awaitable<std::optional<TokenReservation>> AdmitCall(
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

// Whether another attempt may be made. A quarantined call gets its refusal in
// `outcome`.
bool MayRetry(NodeContext& node, const PlainCall& call, PlainOutcome& outcome) {
  if (!IsQuarantined(node, call))
    return node.quarantine->TakeRetry();
  outcome.refusal = MakeRefusal(QuarantineReason(), outcome.refusal.ran);
  return false;
}

// Reports to the quarantine how the attempt on `target` ended.
asio::awaitable<void> ReportToQuarantine(NodeContext& node,
                                         const PlainCall& call,
                                         const PlainOutcome& outcome,
                                         HttpFailure failure,
                                         TargetChoice target,
                                         std::size_t thread_index) {
  if (outcome.response) {
    if (node.quarantine->HasSuspects())
      node.quarantine->OnAnswered(QuarantineDigestOf(call));
    co_return;
  }
  std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(target.address);
  if (!endpoint || failure.timed_out || !failure.may_have_arrived)
    co_return;
  const ProbeResult result = co_await ProbeTarget(*node.clients[thread_index],
                                                  *endpoint, failure, false);
  if (result == ProbeResult::kLost)
    node.quarantine->OnLost(QuarantineDigestOf(call), target.name);
}

// Sends the call. A call that is not repeatable is sent to another target only
// if it cannot have reached the previous one.
asio::awaitable<PlainOutcome> SendCall(NodeContext& node,
                                       PlainCall& call,
                                       std::size_t thread_index) {
  PlainOutcome outcome;
  std::set<std::string> excluded;
  for (int n = 0; n < kMaxTargetAttempts; ++n) {
    if (n > 0 && !MayRetry(node, call, outcome))
      co_return outcome;
    Reason reason;
    std::optional<TargetChoice> choice;
    if (n == 0)
      choice = co_await node.targets->WaitForTarget(call.routing_request,
                                                    call.deadline, &reason);
    else
      choice =
          node.targets->BeginAttempt(call.routing_request, excluded, &reason);
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
    meter->SetOutcome(outcome.response
                          ? OutcomeOfStatus(outcome.response->status,
                                            outcome.response->headers)
                          : OutcomeOfFailure(failure));
    meter.reset();
    co_await ReportToQuarantine(node, call, outcome, failure, *choice,
                                thread_index);
    const bool failed =
        !outcome.response || outcome.response->status >= kServerError;
    if (!failed || (outcome.response && !call.repeatable))
      co_return outcome;
    excluded.insert(choice->name);
    RecordFailure(*choice, failure, outcome);
    call.record->attempts.back().failure = outcome.refusal.reason.text;
    if (!call.repeatable && failure.may_have_arrived) {
      outcome.refusal.reason.code = ResultCode::kOutcomeUnknown;
      outcome.refusal.retry_after_s = 0;
      co_return outcome;
    }
  }
  co_return outcome;
}

asio::awaitable<void> SettleClaim(NodeContext& node,
                                  const ClaimSession& claim,
                                  const PlainOutcome& outcome) {
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    co_await RunOnControl(node, node.claims->Complete(claim, outcome.response));
  else
    co_await RunOnControl(node, node.claims->Abandon(claim));
}

// Sends the target's response, or the refusal, to the caller.
asio::awaitable<ResultCode> SendAnswer(const Caller& caller,
                                       PlainOutcome outcome,
                                       HttpExchange& exchange) {
  if (!outcome.response) {
    LogEvent(kLog, Severity::kWarning, "call_failed",
             {{"request", caller.request_id},
              {"reason", outcome.refusal.reason.text}});
    co_return co_await SendRefusal(caller, outcome.refusal, exchange);
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
  std::optional<ServicePath> target = ParseServicePath(request.target);
  if (!target)
    co_return co_await SendRefusal(caller, MakeRefusal(reason), exchange);
  const RouteConfig* route = caller.config->Route(
      target->service, PathOf(target->path), request.method);
  const ServiceConfig* service = caller.config->Service(target->service);
  if (!route || !service)
    co_return co_await SendRefusal(caller, MakeRefusal(reason), exchange);
  if (!IsRouteOpenTo(*route, *caller.team)) {
    reason = {
        ResultCode::kForbidden,
        "route " + route->name + " is not open to team " + caller.team->name};
    co_return co_await SendRefusal(caller, MakeRefusal(reason), exchange);
  }
  const std::string key(request.headers.Get("Idempotency-Key"));
  if (!route->repeatable && key.empty()) {
    reason = {ResultCode::kKeyRequired,
              "route " + route->name +
                  " is not repeatable and needs an Idempotency-Key header"};
    co_return co_await SendRefusal(caller, MakeRefusal(reason), exchange);
  }
  std::optional<ClaimRequest> claim_request;
  if (!key.empty())
    claim_request = MakeClaimRequest(caller, request, key, route->deadline);
  PlainCall call;
  call.route = route;
  call.repeatable = route->repeatable && key.empty();
  call.deadline = start + route->deadline;
  call.record = caller.record.get();
  call.routing_request.service = service->name;
  call.routing_request.team = caller.team->name;
  call.routing_request.share = caller.team->share;
  call.routing_request.domains = DomainsFor(caller, route);
  call.request = MakeTargetRequest(caller, request, target->path, key);
  call.team = caller.team->name;
  std::optional<TokenReservation> reserved =
      co_await AdmitCall(node, caller, call, *service, &reason);
  if (!reserved && !claim_request)
    co_return co_await SendRefusal(caller, MakeRefusal(reason), exchange);
  if (claim_request) {
    ClaimResult claim_result;
    if (reserved)
      claim_result =
          co_await RunOnControl(node, node.claims->Acquire(*claim_request));
    else
      claim_result = co_await FindExistingClaim(node, *claim_request, reason);
    if (claim_result.stored_response)
      co_return co_await SendStoredAnswer(
          caller, std::move(*claim_result.stored_response), exchange);
    if (!claim_result.session) {
      co_return co_await SendRefusal(
          caller, MakeRefusal(claim_result.reason, claim_result.ran), exchange);
    }
    call.claim = std::move(claim_result.session);
  }
  PlainOutcome outcome = co_await SendCall(node, call, exchange.thread_index());
  if (outcome.response || outcome.refusal.ran != RanState::kNotRun)
    reserved->Settle(caller, service->name, service->call_tokens);
  if (call.claim)
    co_await SettleClaim(node, *call.claim, outcome);
  co_return co_await SendAnswer(caller, std::move(outcome), exchange);
}

}  // namespace turmericwinch
