#include "libs/gateway/gateway_call_runner.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "libs/base/log.h"
#include "libs/gateway/call_quarantine.h"
#include "libs/gateway/resolved_call.h"
#include "libs/gateway/response_relay.h"
#include "libs/gateway/retry_after.h"
#include "libs/gateway/target_attempt.h"
#include "libs/gateway/time_until.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"gateway"};

class CallRunner {
 public:
  CallRunner(GatewayContext& context,
             const HttpRequest& request,
             HttpExchange& exchange)
      : context_(context), request_(request), exchange_(exchange) {}

  asio::awaitable<void> Run();

 private:
  // Reports a failed or successful attempt to the quarantine. `sent` is when it
  // began.
  void ReportToQuarantine(const AttemptReport& report,
                          const TargetChoice& choice,
                          Clock::time_point sent);
  // Whether the caller got a whole answer.
  bool IsAnswered(AttemptResult result) const;
  void ReportLoss(const TargetChoice& choice,
                  bool connection_closed,
                  Clock::time_point sent);
  // Reserves the request's tokens. Returns false if there are too few.
  asio::awaitable<bool> Reserve();
  // Whether the caller has closed its connection, also if the event loop has
  // not yet handled that. The call is then cancelled.
  bool HasCallerLeft();
  asio::awaitable<void> RunAttempts();
  // Waits for a target with room if the request has certainly not run.
  asio::awaitable<std::optional<TargetChoice>> ChooseTarget(bool is_first);
  // Runs an attempt, and reports its outcome to the quarantine.
  asio::awaitable<AttemptResult> RunAttempt(const TargetChoice& choice);
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

  GatewayContext& context_;
  const HttpRequest& request_;
  HttpExchange& exchange_;
  ResolvedCall resolved_;
  HttpCancel cancel_;
  std::optional<std::uint64_t> reservation_;
  Reason reason_;
  bool may_have_run_ = false;
  CallQuarantine quarantine_{context_.quarantine, request_};
  int attempts_ = 0;
  // Targets that the request did not reach.
  int unreached_targets_ = 0;
  std::set<std::string> tried_targets_;
  std::string last_target_;
  ResponseRelay relay_{context_.dialect, exchange_, cancel_,
                       context_.response_memory};
  // A server error that the caller gets if no other target succeeds.
  std::optional<HttpResponse> failed_response_;
  std::int64_t charged_tokens_ = 0;
  int status_ = 0;
};

void CallRunner::ReportToQuarantine(const AttemptReport& report,
                                    const TargetChoice& choice,
                                    Clock::time_point sent) {
  if (IsAnswered(report.result))
    quarantine_.RecordAnsweredParts();
  else if (relay_.order().passed() >= kEventsOfBegunAnswer)
    quarantine_.RecordBegunParts();
  if (cancel_.cancelled())
    return;
  if (report.result == AttemptResult::kFailed ||
      report.result == AttemptResult::kStreamBroken)
    ReportLoss(choice, report.connection_closed, sent);
  else if (report.result == AttemptResult::kDone)
    quarantine_.RecordAnswer();
}

bool CallRunner::IsAnswered(AttemptResult result) const {
  const int status = status_ != 0 ? status_ : relay_.status();
  return result == AttemptResult::kDone && IsSuccess(status);
}

void CallRunner::ReportLoss(const TargetChoice& choice,
                            bool connection_closed,
                            Clock::time_point sent) {
  LogEvent(kLog, Severity::kWarning, "response_lost",
           {{"request", resolved_.call->id},
            {"target", choice.name},
            {"incarnation", choice.incarnation},
            {"events", relay_.order().passed()},
            {"parts", PartIdsText(PartIds(*resolved_.call))},
            {"reason", reason_.text}});
  quarantine_.RecordLoss(choice, connection_closed, sent);
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
      budgets.front()->name, tokens, kGatewayGrantTimeout, &reason_, &cancel_);
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
  if (!is_first) {
    std::optional<TargetChoice> choice = context_.targets.BeginAttempt(
        resolved_.routing_request, tried_targets_, &reason_);
    if (choice || may_have_run_ || reason_.code != ResultCode::kOverloaded)
      co_return choice;
  }
  co_return co_await context_.targets.WaitForTarget(
      resolved_.routing_request, resolved_.deadline, &reason_, &cancel_,
      tried_targets_);
}

asio::awaitable<AttemptResult> CallRunner::RunAttempt(
    const TargetChoice& choice) {
  last_target_ = choice.name;
  tried_targets_.insert(choice.name);
  const Clock::time_point sent = Clock::now();
  AttemptReport report;
  {
    TargetAttempt attempt(context_, resolved_, choice);
    report =
        co_await attempt.Run(request_, exchange_, relay_, cancel_, &reason_);
  }
  attempts_ += report.arrived ? 1 : 0;
  unreached_targets_ += report.is_unreachable ? 1 : 0;
  may_have_run_ = may_have_run_ || report.may_have_run;
  if (report.failed_response)
    failed_response_ = std::move(report.failed_response);
  if (report.status != 0)
    status_ = report.status;
  ReportToQuarantine(report, choice, sent);
  co_return report.result;
}

bool CallRunner::MayRetry(AttemptResult result) {
  if (cancel_.cancelled() || TimeUntil(resolved_.deadline) < kMinTimeLeft)
    return false;
  if (result != AttemptResult::kNotRun && !IsRepeatable(resolved_.route->kind))
    return false;
  // Without the id of an event, the next target would repeat those that the
  // caller has.
  if (result == AttemptResult::kStreamBroken &&
      (resolved_.route->kind != RouteKind::kStreamResumable ||
       !relay_.order().last_id()))
    return false;
  if (attempts_ >= resolved_.route->max_attempts ||
      unreached_targets_ >= kMaxUnreachedTargets)
    return false;
  return context_.retries.TakeRetry(resolved_.service);
}

bool CallRunner::HasCallerLeft() {
  if (!cancel_.cancelled() && exchange_.CallerGone())
    cancel_.Cancel();
  return cancel_.cancelled();
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
    // The verdict may have come, and the caller left, while the request waited.
    // A busy host may also read a request after its caller has given up.
    if (!quarantine_.Passes(&reason_) || HasCallerLeft()) {
      context_.targets.EndAttempt(*choice);
      co_await EndUnanswered();
      co_return;
    }
    const AttemptResult result = co_await RunAttempt(*choice);
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
              {"last_event", ToText(relay_.order().last_id())},
              {"after_event", ToText(relay_.order().resume_after())},
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
  bool is_resolved = ResolveCall(context_, request_, resolved_, &reason_);
  if (is_resolved)
    quarantine_.SetCall(resolved_);
  // Connections that were accepted before the host stopped accepting may still
  // deliver requests.
  if (is_resolved && context_.refuses_requests) {
    reason_ = {ResultCode::kOverloaded, "this host is about to stop"};
    is_resolved = false;
  }
  if (!is_resolved || !quarantine_.Passes(&reason_)) {
    co_await Refuse();
    LogRequestDone();
    co_return;
  }
  relay_.StartAfter(resolved_.call->after_event);
  exchange_.WatchCaller([this] { cancel_.Cancel(); });
  const bool reserved = co_await Reserve();
  if (!reserved)
    co_await Refuse();
  else
    co_await RunAttempts();
  if (status_ == 0)
    status_ = relay_.status();
  if (IsSuccess(status_))
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
