#include "libs/gateway/gateway_call_runner.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/gateway/answer_relay.h"
#include "libs/gateway/resolved_call.h"
#include "libs/gateway/retry_after.h"
#include "libs/node/attempt_meter.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"gateway"};
constexpr int kServerError = 500;
constexpr int kStatusOk = 200;
constexpr int kFirstFailure = 300;

milliseconds Until(Clock::time_point time) {
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
  // What the quarantine knows the request by.
  std::string Digest() const;
  // False if the request has crashed the targets that ran it.
  bool PassesQuarantine();
  void TellQuarantine(AttemptEnd end, const TargetChoice& choice);
  asio::awaitable<bool> Reserve();
  asio::awaitable<void> RunAttempts();
  asio::awaitable<std::optional<TargetChoice>> Choose(bool is_first);
  asio::awaitable<AttemptEnd> Attempt(const TargetChoice& choice);
  // A failure that another target may still turn into a success is kept.
  asio::awaitable<AttemptEnd> RelayWhole(RelayedAnswer& answer);
  // Whether another target may be tried after `end`; if not, `reason_` says
  // what the caller is told.
  bool MayTryAgain(AttemptEnd end);
  asio::awaitable<void> Refuse();
  void Settle();
  void LogEnd();

  bool MayRepeat() const {
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
  int attempts_ = 0;
  int unreached_ = 0;
  std::set<std::string> tried_;
  std::string last_target_;
  AnswerRelay relay_{context_.dialect, exchange_, cancel_};
  // What the caller gets if no target does better.
  std::optional<HttpResponse> failed_answer_;
  std::int64_t charged_ = 0;
  int status_ = 0;
};

std::string CallRunner::Digest() const {
  return Sha256Hex(resolved_.wish.team + "\n" + request_.method + " " +
                   request_.target + "\n" + request_.body);
}

bool CallRunner::PassesQuarantine() {
  if (!context_.quarantine.HasSuspects() ||
      !context_.quarantine.IsQuarantined(Digest()))
    return true;
  reason_ = {ResultCode::kQuarantined, "targets crashed when they ran it"};
  return false;
}

void CallRunner::TellQuarantine(AttemptEnd end, const TargetChoice& choice) {
  if (cancel_.cancelled())
    return;
  if (end == AttemptEnd::kLost || end == AttemptEnd::kBroken)
    context_.quarantine.OnLost({Digest(), choice.name, choice.incarnation});
  else if (end == AttemptEnd::kDone && context_.quarantine.HasSuspects())
    context_.quarantine.OnAnswered(Digest());
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
  reservation_ = co_await context_.ledger.Reserve(budgets.front()->name, tokens,
                                                  kFleetGrantWait, &reason_);
  co_return reservation_.has_value();
}

// Prompt tokens count once; output as far as it was relayed. A request that no
// target ran costs nothing.
void CallRunner::Settle() {
  if (!reservation_)
    return;
  const std::uint64_t id = *std::exchange(reservation_, std::nullopt);
  if (!may_have_run_) {
    context_.ledger.Release(id);
    return;
  }
  auto per_event = resolved_.config->tokens_per_event.find(resolved_.service);
  const std::int64_t each =
      per_event == resolved_.config->tokens_per_event.end() ? 1
                                                            : per_event->second;
  Bill bill;
  bill.request_id = resolved_.call->id;
  bill.team = resolved_.team->name;
  bill.service = resolved_.service;
  bill.tokens = resolved_.call->tokens->prompt +
                std::min(resolved_.call->tokens->most_output,
                         relay_.order().passed() * each);
  charged_ = bill.tokens;
  context_.ledger.Settle(id, std::move(bill));
}

asio::awaitable<std::optional<TargetChoice>> CallRunner::Choose(bool is_first) {
  if (is_first)
    co_return co_await context_.targets.WaitForTarget(
        resolved_.wish, resolved_.deadline, &reason_);
  co_return context_.targets.BeginAttempt(resolved_.wish, tried_, &reason_);
}

asio::awaitable<AttemptEnd> CallRunner::RelayWhole(RelayedAnswer& answer) {
  std::optional<HttpResponse> response = co_await relay_.Read(answer, &reason_);
  if (!response)
    co_return AttemptEnd::kLost;
  if (response->status >= kServerError && MayRepeat()) {
    reason_ = {ResultCode::kTargetFailed,
               last_target_ + " answered " + std::to_string(response->status)};
    failed_answer_ = std::move(response);
    co_return AttemptEnd::kLost;
  }
  status_ = response->status;
  co_await exchange_.Send(*response);
  co_return AttemptEnd::kDone;
}

asio::awaitable<AttemptEnd> CallRunner::Attempt(const TargetChoice& choice) {
  AttemptMeter meter(context_.targets, choice);
  last_target_ = choice.name;
  tried_.insert(choice.name);
  const std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(choice.address);
  if (!endpoint) {
    reason_ = {ResultCode::kNoTarget, choice.name + " has no usable address"};
    co_return AttemptEnd::kNotRun;
  }
  TargetOrder order;
  order.target = choice.name;
  order.team = resolved_.wish.team;
  order.time_left = Until(resolved_.deadline);
  order.rank =
      std::min(resolved_.route->rank, resolved_.team ? resolved_.team->priority
                                                     : resolved_.route->rank);
  if (relay_.order().last() != 0)
    order.after_event = relay_.order().last();
  if (order.time_left < kLeastTimeLeft) {
    reason_ = {ResultCode::kTargetTimeout, "no time was left to send it"};
    co_return AttemptEnd::kNotRun;
  }
  const HttpRequest request = context_.dialect.encode(request_, order);
  HttpCallOptions options;
  options.timeouts.connect = kTargetConnectTimeout;
  options.timeouts.first_byte = order.time_left;
  options.cancel = &cancel_;
  options.is_mine = [this](const HttpHeaders& headers) {
    return context_.dialect.is_mine(headers, resolved_.call->id);
  };
  HttpFailure failure;
  std::unique_ptr<HttpStream> stream =
      co_await context_.client.Open(*endpoint, request, options, &failure);
  if (!stream) {
    if (!cancel_.cancelled()) {
      meter.SetOutcome(failure.timed_out && failure.may_have_arrived &&
                               Until(resolved_.deadline) < kLeastTimeLeft
                           ? AttemptOutcome::kNoVerdict
                           : OutcomeOfFailure(failure));
      context_.client.DropIdle(*endpoint);
    }
    reason_ = {ResultCode::kTargetFailed, choice.name + ": " + failure.text};
    if (!failure.may_have_arrived) {
      ++unreached_;
      co_return AttemptEnd::kNotRun;
    }
    ++attempts_;
    may_have_run_ = true;
    co_return AttemptEnd::kLost;
  }
  ++attempts_;
  const HeadVerdict verdict =
      context_.dialect.judge(stream->status(), stream->headers());
  if (verdict == HeadVerdict::kNotRun || verdict == HeadVerdict::kOtherTarget) {
    meter.SetOutcome(verdict == HeadVerdict::kOtherTarget
                         ? AttemptOutcome::kLeaving
                         : AttemptOutcome::kFailed);
    while (!stream->done()) {
      std::optional<std::string> piece =
          co_await stream->ReadSome(kTargetConnectTimeout, &failure);
      if (!piece)
        break;
    }
    reason_ = {ResultCode::kOverloaded, choice.name + " did not run it"};
    co_return AttemptEnd::kNotRun;
  }
  may_have_run_ = true;
  if (verdict == HeadVerdict::kForeign) {
    meter.SetOutcome(AttemptOutcome::kWrong);
    context_.client.DropIdle(*endpoint);
    reason_ = {ResultCode::kTargetFailed,
               choice.name + " answered something else"};
    co_return AttemptEnd::kLost;
  }
  RelayedAnswer answer{*stream, meter, last_target_, resolved_.deadline};
  if (IsStream(resolved_.route->kind) && stream->status() >= kStatusOk &&
      stream->status() < kFirstFailure)
    co_return co_await relay_.Stream(answer, &reason_);
  co_return co_await RelayWhole(answer);
}

bool CallRunner::MayTryAgain(AttemptEnd end) {
  if (cancel_.cancelled() || Until(resolved_.deadline) < kLeastTimeLeft)
    return false;
  if (end != AttemptEnd::kNotRun && !MayRepeat())
    return false;
  if (end == AttemptEnd::kBroken &&
      resolved_.route->kind != RouteKind::kStreamResumable)
    return false;
  if (attempts_ >= resolved_.route->most_attempts ||
      unreached_ >= kMostUnreached)
    return false;
  return context_.retries.TakeRetry(resolved_.service);
}

asio::awaitable<void> CallRunner::RunAttempts() {
  context_.retries.OnRequest(resolved_.service);
  for (bool is_first = true;; is_first = false) {
    Reason reason;
    std::optional<TargetChoice> choice = co_await Choose(is_first);
    if (!choice) {
      if (relay_.head_sent())
        exchange_.Abort();
      else
        co_await Refuse();
      co_return;
    }
    const AttemptEnd end = co_await Attempt(*choice);
    TellQuarantine(end, *choice);
    if (end == AttemptEnd::kDone)
      co_return;
    if (MayTryAgain(end)) {
      LogEvent(kLog, Severity::kInfo, "retried",
               {{"request", resolved_.call->id},
                {"target", last_target_},
                {"attempts", attempts_},
                {"after_event", relay_.order().last()},
                {"reason", reason_.text}});
      continue;
    }
    if (relay_.head_sent())
      exchange_.Abort();
    else
      co_await Refuse();
    co_return;
  }
}

asio::awaitable<void> CallRunner::Refuse() {
  if (cancel_.cancelled()) {
    reason_ = {ResultCode::kCallerGone, "the caller left"};
    exchange_.Abort();
    co_return;
  }
  if (resolved_.route && may_have_run_ &&
      Until(resolved_.deadline) <= kLeastTimeLeft)
    reason_.code = ResultCode::kTargetTimeout;
  if (failed_answer_) {
    status_ = failed_answer_->status;
    co_await exchange_.Send(*failed_answer_);
    co_return;
  }
  milliseconds retry_after{0};
  if (!may_have_run_) {
    retry_after = RetryAfterOf(reason_.code);
  }
  const HttpResponse response =
      context_.dialect.refuse(resolved_.call ? &*resolved_.call : nullptr,
                              reason_, may_have_run_, retry_after);
  status_ = response.status;
  co_await exchange_.Send(response);
}

void CallRunner::LogEnd() {
  context_.metrics.CountResult(reason_.code);
  const auto elapsed = Clock::now() - resolved_.start;
  context_.metrics.AddWhole(elapsed);
  std::int64_t first_ms = 0;
  if (exchange_.first_byte_at()) {
    const auto first = *exchange_.first_byte_at() - resolved_.start;
    context_.metrics.AddFirstByte(first);
    first_ms = std::chrono::duration_cast<milliseconds>(first).count();
  }
  LogEvent(kLog, Severity::kInfo, "request_done",
           {{"request", resolved_.call ? resolved_.call->id : std::string()},
            {"team", resolved_.wish.team},
            {"route", resolved_.route ? resolved_.route->name : std::string()},
            {"target", last_target_},
            {"attempts", attempts_},
            {"status", status_},
            {"code", static_cast<int>(reason_.code)},
            {"reason", reason_.text},
            {"events", relay_.order().passed()},
            {"bound", resolved_.call && resolved_.call->tokens
                          ? resolved_.call->tokens->Sum()
                          : 0},
            {"charged", charged_},
            {"config", resolved_.config ? resolved_.config->version : 0},
            {"first_ms", first_ms},
            {"ms", std::chrono::duration_cast<milliseconds>(elapsed).count()}});
}

asio::awaitable<void> CallRunner::Run() {
  const bool is_resolved = ResolveCall(context_, request_, resolved_, &reason_);
  if (!is_resolved || !PassesQuarantine()) {
    co_await Refuse();
    LogEnd();
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
  if (status_ != 0 && status_ < kFirstFailure)
    reason_ = {};
  Settle();
  LogEnd();
}

}  // namespace

asio::awaitable<void> RunGatewayCall(GatewayContext& context,
                                     const HttpRequest& request,
                                     HttpExchange& exchange) {
  CallRunner runner(context, request, exchange);
  co_await runner.Run();
}

}  // namespace turmericwinch
