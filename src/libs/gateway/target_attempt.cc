#include "libs/gateway/target_attempt.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "libs/base/log.h"
#include "libs/gateway/time_until.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"gateway"};
constexpr int kFirstServerErrorStatus = 500;

// Reads a refusal to its end, so that the connection can be used again. A
// connection whose refusal takes longer than kMaxRefusalTime is closed.
asio::awaitable<void> DiscardRefusal(HttpStream& stream) {
  const Clock::time_point end = Clock::now() + kMaxRefusalTime;
  HttpFailure ignored;
  for (std::size_t n = 0; !stream.done() && n < kMaxRefusalBytes;) {
    const std::chrono::milliseconds left = TimeUntil(end);
    if (left.count() <= 0)
      co_return;
    std::optional<std::string> piece = co_await stream.ReadSome(left, &ignored);
    if (!piece)
      co_return;
    n += piece->size();
  }
}

}  // namespace

TargetAttempt::TargetAttempt(GatewayContext& context,
                             const ResolvedCall& resolved,
                             const TargetChoice& choice)
    : context_(context),
      resolved_(resolved),
      choice_(choice),
      endpoint_(ParseEndpoint(choice.address)),
      meter_(context.targets, choice) {}

RequestMetadata TargetAttempt::MetadataFor(const EventOrder& order) const {
  RequestMetadata metadata;
  metadata.target = choice_.name;
  metadata.team = resolved_.routing_request.team;
  metadata.time_left = TimeUntil(resolved_.deadline);
  metadata.priority = std::min(
      resolved_.route->priority,
      resolved_.team ? resolved_.team->priority : resolved_.route->priority);
  metadata.after_event = order.resume_after();
  return metadata;
}

void TargetAttempt::HandleFailedCall(const HttpFailure& failure,
                                     bool is_cancelled,
                                     Reason* reason) {
  if (!is_cancelled) {
    meter_.SetOutcome(failure.timed_out && failure.may_have_arrived &&
                              TimeUntil(resolved_.deadline) < kMinTimeLeft
                          ? AttemptOutcome::kNoVerdict
                          : OutcomeOfFailure(failure));
    context_.client.CloseIdleConnections(*endpoint_);
  }
  *reason = {ResultCode::kTargetFailed,
             "the call to target " + choice_.name + " failed: " + failure.text};
  if (!failure.may_have_arrived) {
    report_.is_unreachable = true;
    return;
  }
  report_.result = AttemptResult::kFailed;
  report_.arrived = true;
  report_.may_have_run = true;
  report_.connection_closed = !failure.timed_out;
}

void TargetAttempt::RecordRateLimit(const HttpHeaders& headers) {
  const std::optional<double> limit =
      context_.dialect.parse_rate_limit(headers);
  if (!context_.targets.RecordRateLimit(choice_, limit))
    return;
  LogEvent(kLog, Severity::kInfo, "target_rate_limit",
           {{"request", resolved_.call->id},
            {"target", choice_.name},
            {"per_second", limit ? std::to_string(*limit) : "none"}});
}

void TargetAttempt::RecordReportedLoad(const HttpHeaders& headers) {
  const LoadHeader header = context_.dialect.parse_load(headers);
  if (header.load)
    context_.targets.RecordReportedLoad(choice_, *header.load);
  if (!header.is_invalid)
    return;
  context_.metrics.CountInvalidLoadHeader();
  if (!context_.load_header_log.TryAcquire(Clock::now()))
    return;
  LogEvent(kLog, Severity::kWarning, "load_header_invalid",
           {{"request", resolved_.call->id},
            {"target", choice_.name},
            {"used", header.load ? "load" : "none"},
            {"dropped", context_.load_header_log.TakeDropped()}});
}

void TargetAttempt::RecordNotice(int status, const HttpHeaders& headers) {
  const TargetNotice notice = context_.dialect.parse_notice(status, headers);
  if (!context_.targets.RecordNotice(choice_, notice))
    return;
  LogEvent(kLog, Severity::kInfo, "target_notice",
           {{"request", resolved_.call->id},
            {"target", choice_.name},
            {"leaving", notice.leaving},
            {"pause_ms", notice.pause.count()}});
}

asio::awaitable<AttemptResult> TargetAttempt::RelayResponse(
    RelayedResponse& relayed,
    HttpExchange& exchange,
    ResponseRelay& relay,
    Reason* reason) {
  std::optional<HttpResponse> response =
      co_await relay.ReadResponse(relayed, reason);
  if (!response)
    co_return AttemptResult::kFailed;
  if (response->status >= kFirstServerErrorStatus &&
      IsRepeatable(resolved_.route->kind)) {
    *reason = {ResultCode::kTargetFailed, "target " + choice_.name +
                                              " responded with status " +
                                              std::to_string(response->status)};
    report_.failed_response = std::move(response);
    co_return AttemptResult::kFailed;
  }
  report_.status = response->status;
  co_await exchange.Send(*response);
  co_return AttemptResult::kDone;
}

AttemptResult TargetAttempt::RejectErrorInStream(const HttpStream& stream,
                                                 Reason* reason) {
  meter_.SetOutcome(OutcomeOfStatus(stream.status(), stream.headers()));
  *reason = {ResultCode::kTargetFailed,
             "target " + choice_.name + " responded with status " +
                 std::to_string(stream.status()) +
                 " to a stream that another target began"};
  return AttemptResult::kStreamBroken;
}

asio::awaitable<void> TargetAttempt::HandleResponse(HttpStream& stream,
                                                    HttpExchange& exchange,
                                                    ResponseRelay& relay,
                                                    Reason* reason) {
  report_.arrived = true;
  const HeadVerdict verdict =
      context_.dialect.classify_head(stream.status(), stream.headers());
  if (verdict == HeadVerdict::kAnswer || verdict == HeadVerdict::kNotRun) {
    RecordRateLimit(stream.headers());
    RecordReportedLoad(stream.headers());
    RecordNotice(stream.status(), stream.headers());
  }
  if (verdict == HeadVerdict::kNotRun || verdict == HeadVerdict::kOtherTarget) {
    meter_.SetOutcome(verdict == HeadVerdict::kOtherTarget
                          ? AttemptOutcome::kLeaving
                          : AttemptOutcome::kFailed);
    co_await DiscardRefusal(stream);
    *reason = {ResultCode::kOverloaded,
               "target " + choice_.name + " did not run the request"};
    co_return;
  }
  report_.result = AttemptResult::kFailed;
  report_.may_have_run = true;
  if (verdict == HeadVerdict::kUnverified) {
    meter_.SetOutcome(AttemptOutcome::kWrong);
    context_.client.CloseIdleConnections(*endpoint_);
    *reason = {
        ResultCode::kTargetFailed,
        "the response of target " + choice_.name + " could not be verified"};
    co_return;
  }
  RelayedResponse relayed{stream, meter_, choice_.name, resolved_.deadline};
  if (IsStream(resolved_.route->kind) && IsSuccess(stream.status()))
    report_.result = co_await relay.RelayStream(relayed, reason);
  else if (relay.head_sent())
    report_.result = RejectErrorInStream(stream, reason);
  else
    report_.result = co_await RelayResponse(relayed, exchange, relay, reason);
  report_.connection_closed = relayed.connection_closed;
}

asio::awaitable<AttemptReport> TargetAttempt::Run(const HttpRequest& request,
                                                  HttpExchange& exchange,
                                                  ResponseRelay& relay,
                                                  HttpCancel& cancel,
                                                  Reason* reason) {
  if (!endpoint_) {
    *reason = {ResultCode::kNoTarget, "target " + choice_.name +
                                          " has the invalid address " +
                                          choice_.address};
    co_return std::move(report_);
  }
  const RequestMetadata metadata = MetadataFor(relay.order());
  if (metadata.time_left < kMinTimeLeft) {
    *reason = {ResultCode::kTargetTimeout,
               "too little time was left to send the request to target " +
                   choice_.name};
    co_return std::move(report_);
  }
  const HttpRequest encoded =
      context_.dialect.encode_request(request, metadata);
  HttpCallOptions options;
  options.timeouts.connect = kGatewayTargetConnectTimeout;
  options.timeouts.first_byte = metadata.time_left;
  options.cancel = &cancel;
  options.matches_request = [this](const HttpHeaders& headers) {
    return context_.dialect.belongs_to_call(headers, resolved_.call->id);
  };
  HttpFailure failure;
  context_.link.RecordSent(encoded.body.size(), Clock::now());
  std::unique_ptr<HttpStream> stream =
      co_await context_.client.Open(*endpoint_, encoded, options, &failure);
  if (stream)
    co_await HandleResponse(*stream, exchange, relay, reason);
  else
    HandleFailedCall(failure, cancel.cancelled(), reason);
  co_return std::move(report_);
}

}  // namespace turmericwinch
