#include "libs/gateway/gateway_call_runner.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/gateway/resolved_call.h"
#include "libs/gateway/response_relay.h"
#include "libs/gateway/retry_after.h"
#include "libs/node/attempt_meter.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"gateway"};
constexpr int kFirstServerErrorStatus = 500;
constexpr int kStatusOk = 200;
constexpr int kFirstNonSuccessStatus = 300;

milliseconds TimeUntil(Clock::time_point time) {
  return std::chrono::duration_cast<milliseconds>(time - Clock::now());
}

class CallRunner {
 public:
  CallRunner(GatewayContext& context,
             const HttpRequest& request,
             HttpExchange& exchange)
      : context_(context), request_(request), exchange_(exchange) {}

  asio::awaitable<void> Run();

 private:
  // Digest that identifies the request in the quarantine.
  std::string RequestDigest() const;
  // Returns false if the request is quarantined because it, or others with a
  // part of its prompt, crashed targets.
  bool PassesQuarantine();
  // Reports a failed or successful attempt to the quarantine.
  void ReportToQuarantine(AttemptResult result, const TargetChoice& choice);
  // Whether the answer shows that the parts of the prompt crash no target.
  bool ArePartsSound(AttemptResult result) const;
  void ReportLoss(const TargetChoice& choice);
  // Reserves the request's tokens. Returns false if there are too few.
  asio::awaitable<bool> Reserve();
  asio::awaitable<void> RunAttempts();
  asio::awaitable<std::optional<TargetChoice>> ChooseTarget(bool is_first);
  asio::awaitable<AttemptResult> RunAttempt(const TargetChoice& choice);
  // Records the rate limit that the target names in its response.
  void RecordRateLimit(const TargetChoice& choice, const HttpHeaders& headers);
  // Relays a response that is no stream. A server error is kept for the caller
  // and not sent yet if the request may be retried at another target.
  asio::awaitable<AttemptResult> RelayResponse(RelayedResponse& response);
  // Whether another target may be tried after `result`. If not, `reason_` is
  // the reason that is reported to the caller.
  bool MayRetry(AttemptResult result);
  // Ends the call without a whole answer.
  asio::awaitable<void> EndUnanswered();
  // Sends the caller an error response, or closes its connection if it left.
  asio::awaitable<void> Refuse();
  // Settles or releases the reserved tokens.
  void Settle();
  void LogRequestDone();

  // Whether the request may run at more than one target.
  bool IsRepeatable() const {
    return resolved_.route->kind == RouteKind::kRepeatable ||
           resolved_.route->kind == RouteKind::kStreamResumable;
  }

  GatewayContext& context_;
  const HttpRequest& request_;
  HttpExchange& exchange_;
  ResolvedCall resolved_;
  HttpCancel cancel_;
  std::optional<std::uint64_t> reservation_;
  Reason reason_;
  bool may_have_run_ = false;
  // Whether the target closed the connection of the last attempt too early.
  bool connection_closed_ = false;
  std::vector<PromptPartId> shared_parts_;
  int attempts_ = 0;
  // Targets that the request did not reach.
  int unreached_targets_ = 0;
  std::set<std::string> tried_targets_;
  std::string last_target_;
  ResponseRelay relay_{context_.dialect, exchange_, cancel_};
  // A server error that the caller gets if no other target succeeds.
  std::optional<HttpResponse> failed_response_;
  std::int64_t charged_tokens_ = 0;
  int status_ = 0;
};

std::string CallRunner::RequestDigest() const {
  return Sha256Hex(resolved_.routing_request.team + "\n" + request_.method +
                   " " + request_.target + "\n" + request_.body);
}

bool CallRunner::PassesQuarantine() {
  const std::optional<PromptPartId> part =
      context_.quarantine.FindQuarantinedPart(shared_parts_);
  if (part) {
    reason_ = {ResultCode::kQuarantined,
               "the prompt part " + PartIdsText({*part}) +
                   " is quarantined: targets crashed on requests with it"};
    return false;
  }
  if (!context_.quarantine.HasSuspects() ||
      !context_.quarantine.IsQuarantined(RequestDigest()))
    return true;
  reason_ = {ResultCode::kQuarantined,
             "the request is quarantined: targets crashed while they ran it"};
  return false;
}

void CallRunner::ReportToQuarantine(AttemptResult result,
                                    const TargetChoice& choice) {
  const bool are_parts_sound = ArePartsSound(result);
  if (are_parts_sound)
    context_.quarantine.OnPartsAnswered(shared_parts_);
  if (cancel_.cancelled())
    return;
  if (result == AttemptResult::kFailed ||
      result == AttemptResult::kStreamBroken)
    ReportLoss(choice);
  else if (result == AttemptResult::kDone && context_.quarantine.HasSuspects())
    context_.quarantine.OnAnswered(RequestDigest());
}

bool CallRunner::ArePartsSound(AttemptResult result) const {
  if (relay_.order().passed() >= kEventsOfSoundParts)
    return true;
  const int status = status_ != 0 ? status_ : relay_.status();
  return result == AttemptResult::kDone && status >= kStatusOk &&
         status < kFirstNonSuccessStatus;
}

void CallRunner::ReportLoss(const TargetChoice& choice) {
  LogEvent(kLog, Severity::kWarning, "response_lost",
           {{"request", resolved_.call->id},
            {"target", choice.name},
            {"incarnation", choice.incarnation},
            {"events", relay_.order().passed()},
            {"parts", PartIdsText(PartIds(*resolved_.call))},
            {"reason", reason_.text}});
  context_.quarantine.OnLost(
      {RequestDigest(), choice.name, choice.incarnation,
       connection_closed_ ? choice.address : std::string(), shared_parts_});
}

asio::awaitable<bool> CallRunner::Reserve() {
  if (!resolved_.team || !resolved_.call->tokens)
    co_return true;
  const std::vector<const BudgetConfig*> budgets =
      resolved_.config->objects->Budgets(resolved_.team->name,
                                         resolved_.service);
  if (budgets.empty())
    co_return true;
  const std::int64_t tokens = resolved_.call->tokens->Sum();
  reservation_ = co_await context_.ledger.Reserve(
      budgets.front()->name, tokens, kGatewayGrantTimeout, &reason_);
  co_return reservation_.has_value();
}

// Charges the prompt tokens once, and the output tokens that were relayed. A
// request that no target ran costs nothing.
void CallRunner::Settle() {
  if (!reservation_)
    return;
  const std::uint64_t id = *std::exchange(reservation_, std::nullopt);
  if (!may_have_run_) {
    context_.ledger.Release(id);
    return;
  }
  auto per_event = resolved_.config->tokens_per_event.find(resolved_.service);
  const std::int64_t event_tokens =
      per_event == resolved_.config->tokens_per_event.end() ? 1
                                                            : per_event->second;
  Bill bill;
  bill.request_id = resolved_.call->id;
  bill.team = resolved_.team->name;
  bill.service = resolved_.service;
  bill.tokens = resolved_.call->tokens->prompt +
                std::min(resolved_.call->tokens->max_output,
                         relay_.order().passed() * event_tokens);
  charged_tokens_ = bill.tokens;
  context_.ledger.Settle(id, std::move(bill));
}

asio::awaitable<std::optional<TargetChoice>> CallRunner::ChooseTarget(
    bool is_first) {
  if (is_first)
    co_return co_await context_.targets.WaitForTarget(
        resolved_.routing_request, resolved_.deadline, &reason_);
  co_return context_.targets.BeginAttempt(resolved_.routing_request,
                                          tried_targets_, &reason_);
}

asio::awaitable<AttemptResult> CallRunner::RelayResponse(
    RelayedResponse& relayed) {
  std::optional<HttpResponse> response =
      co_await relay_.ReadResponse(relayed, &reason_);
  if (!response)
    co_return AttemptResult::kFailed;
  if (response->status >= kFirstServerErrorStatus && IsRepeatable()) {
    reason_ = {ResultCode::kTargetFailed, "target " + last_target_ +
                                              " responded with status " +
                                              std::to_string(response->status)};
    failed_response_ = std::move(response);
    co_return AttemptResult::kFailed;
  }
  status_ = response->status;
  co_await exchange_.Send(*response);
  co_return AttemptResult::kDone;
}

asio::awaitable<AttemptResult> CallRunner::RunAttempt(
    const TargetChoice& choice) {
  AttemptMeter meter(context_.targets, choice);
  connection_closed_ = false;
  last_target_ = choice.name;
  tried_targets_.insert(choice.name);
  const std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(choice.address);
  if (!endpoint) {
    reason_ = {
        ResultCode::kNoTarget,
        "target " + choice.name + " has the invalid address " + choice.address};
    co_return AttemptResult::kNotRun;
  }
  RequestMetadata metadata;
  metadata.target = choice.name;
  metadata.team = resolved_.routing_request.team;
  metadata.time_left = TimeUntil(resolved_.deadline);
  metadata.priority = std::min(
      resolved_.route->priority,
      resolved_.team ? resolved_.team->priority : resolved_.route->priority);
  if (relay_.order().last_id() != 0)
    metadata.after_event = relay_.order().last_id();
  if (metadata.time_left < kMinTimeLeft) {
    reason_ = {ResultCode::kTargetTimeout,
               "too little time was left to send the request to target " +
                   choice.name};
    co_return AttemptResult::kNotRun;
  }
  const HttpRequest request =
      context_.dialect.encode_request(request_, metadata);
  HttpCallOptions options;
  options.timeouts.connect = kGatewayTargetConnectTimeout;
  options.timeouts.first_byte = metadata.time_left;
  options.cancel = &cancel_;
  options.matches_request = [this](const HttpHeaders& headers) {
    return context_.dialect.belongs_to_call(headers, resolved_.call->id);
  };
  HttpFailure failure;
  context_.link.RecordSent(request.body.size(), Clock::now());
  std::unique_ptr<HttpStream> stream =
      co_await context_.client.Open(*endpoint, request, options, &failure);
  if (!stream) {
    if (!cancel_.cancelled()) {
      meter.SetOutcome(failure.timed_out && failure.may_have_arrived &&
                               TimeUntil(resolved_.deadline) < kMinTimeLeft
                           ? AttemptOutcome::kNoVerdict
                           : OutcomeOfFailure(failure));
      context_.client.CloseIdleConnections(*endpoint);
    }
    reason_ = {ResultCode::kTargetFailed, "the call to target " + choice.name +
                                              " failed: " + failure.text};
    if (!failure.may_have_arrived) {
      ++unreached_targets_;
      co_return AttemptResult::kNotRun;
    }
    connection_closed_ = !failure.timed_out;
    ++attempts_;
    may_have_run_ = true;
    co_return AttemptResult::kFailed;
  }
  ++attempts_;
  const HeadVerdict verdict =
      context_.dialect.classify_head(stream->status(), stream->headers());
  if (verdict == HeadVerdict::kAnswer || verdict == HeadVerdict::kNotRun)
    RecordRateLimit(choice, stream->headers());
  if (verdict == HeadVerdict::kNotRun || verdict == HeadVerdict::kOtherTarget) {
    meter.SetOutcome(verdict == HeadVerdict::kOtherTarget
                         ? AttemptOutcome::kLeaving
                         : AttemptOutcome::kFailed);
    // The connection can be used again once the whole refusal is read.
    for (std::size_t n = 0; !stream->done() && n < kMaxRefusalBytes;) {
      std::optional<std::string> piece =
          co_await stream->ReadSome(kGatewayTargetConnectTimeout, &failure);
      if (!piece)
        break;
      n += piece->size();
    }
    reason_ = {ResultCode::kOverloaded,
               "target " + choice.name + " did not run the request"};
    co_return AttemptResult::kNotRun;
  }
  may_have_run_ = true;
  if (verdict == HeadVerdict::kUnverified) {
    meter.SetOutcome(AttemptOutcome::kWrong);
    context_.client.CloseIdleConnections(*endpoint);
    reason_ = {
        ResultCode::kTargetFailed,
        "the response of target " + choice.name + " could not be verified"};
    co_return AttemptResult::kFailed;
  }
  RelayedResponse response{*stream, meter, last_target_, resolved_.deadline};
  const bool is_stream = IsStream(resolved_.route->kind) &&
                         stream->status() >= kStatusOk &&
                         stream->status() < kFirstNonSuccessStatus;
  AttemptResult result = AttemptResult::kFailed;
  if (is_stream)
    result = co_await relay_.RelayStream(response, &reason_);
  else
    result = co_await RelayResponse(response);
  connection_closed_ = response.connection_closed;
  co_return result;
}

void CallRunner::RecordRateLimit(const TargetChoice& choice,
                                 const HttpHeaders& headers) {
  const std::optional<double> limit =
      context_.dialect.parse_rate_limit(headers);
  if (!context_.targets.RecordRateLimit(choice, limit))
    return;
  LogEvent(kLog, Severity::kInfo, "target_rate_limit",
           {{"request", resolved_.call->id},
            {"target", choice.name},
            {"per_second", limit ? std::to_string(*limit) : "none"}});
}

bool CallRunner::MayRetry(AttemptResult result) {
  if (cancel_.cancelled() || TimeUntil(resolved_.deadline) < kMinTimeLeft)
    return false;
  if (result != AttemptResult::kNotRun && !IsRepeatable())
    return false;
  if (result == AttemptResult::kStreamBroken &&
      resolved_.route->kind != RouteKind::kStreamResumable)
    return false;
  if (attempts_ >= resolved_.route->max_attempts ||
      unreached_targets_ >= kMaxUnreachedTargets)
    return false;
  return context_.retries.TakeRetry(resolved_.service);
}

asio::awaitable<void> CallRunner::RunAttempts() {
  context_.retries.OnRequest(resolved_.service);
  context_.demand.RecordRequest(resolved_.service, Clock::now());
  for (bool is_first = true;; is_first = false) {
    std::optional<TargetChoice> choice = co_await ChooseTarget(is_first);
    if (!choice) {
      co_await EndUnanswered();
      co_return;
    }
    // The verdict may have come while the request waited.
    if (!PassesQuarantine()) {
      context_.targets.EndAttempt(*choice);
      co_await EndUnanswered();
      co_return;
    }
    const AttemptResult result = co_await RunAttempt(*choice);
    ReportToQuarantine(result, *choice);
    if (result == AttemptResult::kDone)
      co_return;
    if (!MayRetry(result)) {
      co_await EndUnanswered();
      co_return;
    }
    LogEvent(kLog, Severity::kInfo, "retried",
             {{"request", resolved_.call->id},
              {"target", last_target_},
              {"attempts", attempts_},
              {"after_event", relay_.order().last_id()},
              {"reason", reason_.text}});
  }
}

asio::awaitable<void> CallRunner::EndUnanswered() {
  if (relay_.head_sent())
    exchange_.Abort();
  else
    co_await Refuse();
}

asio::awaitable<void> CallRunner::Refuse() {
  if (cancel_.cancelled()) {
    reason_ = {ResultCode::kCallerGone, "the caller closed its connection"};
    exchange_.Abort();
    co_return;
  }
  if (resolved_.route && may_have_run_ &&
      TimeUntil(resolved_.deadline) <= kMinTimeLeft)
    reason_.code = ResultCode::kTargetTimeout;
  if (failed_response_) {
    status_ = failed_response_->status;
    co_await exchange_.Send(*failed_response_);
    co_return;
  }
  milliseconds retry_after{0};
  if (!may_have_run_) {
    retry_after = RetryAfterOf(reason_.code);
  }
  const HttpResponse response =
      context_.dialect.make_refusal(resolved_.call ? &*resolved_.call : nullptr,
                                    reason_, may_have_run_, retry_after);
  status_ = response.status;
  co_await exchange_.Send(response);
}

void CallRunner::LogRequestDone() {
  context_.metrics.CountResult(reason_.code);
  const auto elapsed = Clock::now() - resolved_.start;
  context_.metrics.RecordWholeAnswer(elapsed);
  std::int64_t first_ms = 0;
  if (exchange_.first_byte_at()) {
    const auto first_byte_time = *exchange_.first_byte_at() - resolved_.start;
    context_.metrics.RecordFirstByte(first_byte_time);
    first_ms =
        std::chrono::duration_cast<milliseconds>(first_byte_time).count();
  }
  LogEvent(kLog, Severity::kInfo, "request_done",
           {{"request", resolved_.call ? resolved_.call->id : std::string()},
            {"team", resolved_.routing_request.team},
            {"route", resolved_.route ? resolved_.route->name : std::string()},
            {"parts", resolved_.call ? PartIdsText(PartIds(*resolved_.call))
                                     : std::string()},
            {"target", last_target_},
            {"attempts", attempts_},
            {"status", status_},
            {"code", static_cast<int>(reason_.code)},
            {"reason", reason_.text},
            {"events", relay_.order().passed()},
            {"bound", resolved_.call && resolved_.call->tokens
                          ? resolved_.call->tokens->Sum()
                          : 0},
            {"charged", charged_tokens_},
            {"config", resolved_.config ? resolved_.config->version : 0},
            {"first_ms", first_ms},
            {"ms", std::chrono::duration_cast<milliseconds>(elapsed).count()}});
}

asio::awaitable<void> CallRunner::Run() {
  context_.link.RecordReceived(request_.body.size(), Clock::now());
  // The load balancer sends the caller's next connection to another host, as
  // this host's health probes fail meanwhile.
  if (context_.IsLinkSaturated())
    exchange_.CloseAfterResponse();
  const bool is_resolved = ResolveCall(context_, request_, resolved_, &reason_);
  if (is_resolved)
    shared_parts_ = SharedPartIds(*resolved_.call);
  if (!is_resolved || !PassesQuarantine()) {
    co_await Refuse();
    LogRequestDone();
    co_return;
  }
  relay_.StartAfter(resolved_.call->after_event.value_or(0));
  exchange_.WatchCaller([this] { cancel_.Cancel(); });
  const bool reserved = co_await Reserve();
  if (!reserved)
    co_await Refuse();
  else
    co_await RunAttempts();
  if (status_ == 0)
    status_ = relay_.status();
  if (status_ != 0 && status_ < kFirstNonSuccessStatus)
    reason_ = {};
  if (relay_.received_bytes() > 0) {
    context_.link.RecordReceived(relay_.received_bytes(), Clock::now());
    context_.link.RecordSent(relay_.received_bytes(), Clock::now());
  }
  Settle();
  LogRequestDone();
}

}  // namespace

asio::awaitable<void> RunGatewayCall(GatewayContext& context,
                                     const HttpRequest& request,
                                     HttpExchange& exchange) {
  CallRunner runner(context, request, exchange);
  co_await runner.Run();
}

}  // namespace turmericwinch
