#include "libs/gateway/response_relay.h"

#include <utility>

#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/time_until.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

}  // namespace

asio::awaitable<std::optional<HttpResponse>> ResponseRelay::ReadResponse(
    RelayedResponse& response,
    Reason* reason) {
  HttpResponse result;
  result.status = response.stream.status();
  HttpFailure failure;
  while (!response.stream.done()) {
    std::optional<std::string> piece = co_await response.stream.ReadSome(
        TimeUntil(response.deadline), &failure);
    if (!piece) {
      response.connection_closed = !failure.timed_out;
      response.meter.SetOutcome(cancel_.cancelled() ? AttemptOutcome::kNoVerdict
                                                    : AttemptOutcome::kFailed);
      *reason = {ResultCode::kTargetFailed, "reading the response of target " +
                                                response.target +
                                                " failed: " + failure.text};
      co_return std::nullopt;
    }
    received_bytes_ += piece->size();
    result.body += *piece;
    if (result.body.size() > kHttpMostBodyBytes) {
      response.meter.SetOutcome(AttemptOutcome::kFailed);
      *reason = {ResultCode::kTargetFailed,
                 "the response of target " + response.target + " exceeds " +
                     std::to_string(kHttpMostBodyBytes) + " bytes"};
      co_return std::nullopt;
    }
    if (!ReserveMemory(result.body.size(), response, reason)) {
      response.meter.SetOutcome(AttemptOutcome::kFailed);
      co_return std::nullopt;
    }
  }
  kept_bytes_ += result.body.size();
  response.meter.SetOutcome(
      OutcomeOfStatus(result.status, response.stream.headers()));
  result.headers = dialect_.caller_headers(response.stream.headers());
  co_return result;
}

bool ResponseRelay::ReserveMemory(std::size_t bytes,
                                  const RelayedResponse& response,
                                  Reason* reason) {
  if (share_.Resize(kept_bytes_ + bytes))
    return true;
  *reason = {ResultCode::kTargetFailed,
             "no memory is left for the response of target " + response.target +
                 ", of which " + std::to_string(bytes) +
                 " bytes are buffered; all responses may take up " +
                 std::to_string(kMaxResponseMemory) + " bytes"};
  return false;
}

void ResponseRelay::StartStreamOnce(const HttpStream& stream) {
  if (std::exchange(head_sent_, true))
    return;
  exchange_.StartStream(stream.status(),
                        dialect_.caller_headers(stream.headers()));
}

std::optional<std::string> ResponseRelay::NewEvents(
    std::string_view piece,
    EventSplitter& splitter,
    const RelayedResponse& response,
    Reason* reason) {
  splitter.Feed(piece);
  std::string new_events;
  while (std::optional<RawEvent> event = splitter.NextEvent()) {
    const EventVerdict verdict = order_.CheckNext(event->id);
    if (verdict == EventVerdict::kMissing) {
      return Fail(reason, ResultCode::kTargetFailed,
                  "target " + response.target + " sent event " +
                      ToText(event->id) + " without event " +
                      ToText(order_.last_id()) +
                      ", the last that the caller has");
    }
    if (verdict == EventVerdict::kPass)
      new_events += event->bytes;
  }
  return new_events;
}

asio::awaitable<AttemptResult> ResponseRelay::RelayStream(
    RelayedResponse& response,
    Reason* reason) {
  HttpStream& stream = response.stream;
  EventSplitter splitter;
  order_.BeginTarget();
  std::size_t bytes_without_event = 0;
  HttpFailure failure;
  for (;;) {
    std::optional<std::string> piece =
        co_await stream.ReadSome(TimeUntil(response.deadline), &failure);
    if (!piece || cancel_.cancelled()) {
      response.connection_closed = !failure.timed_out;
      break;
    }
    received_bytes_ += piece->size();
    if (stream.done() && piece->empty() && splitter.pending_bytes() == 0) {
      if (order_.awaits_last()) {
        failure.text = "the stream ended without event " +
                       ToText(order_.last_id()) +
                       ", the last that the caller has";
        break;
      }
      response.meter.SetOutcome(AttemptOutcome::kGood);
      StartStreamOnce(stream);
      status_ = stream.status();
      co_await exchange_.EndStream();
      co_return AttemptResult::kDone;
    }
    std::optional<std::string> events =
        NewEvents(*piece, splitter, response, reason);
    if (!events) {
      response.meter.SetOutcome(AttemptOutcome::kWrong);
      co_return head_sent_ ? AttemptResult::kStreamBroken
                           : AttemptResult::kFailed;
    }
    if (!events->empty()) {
      response.meter.RecordTokens(order_.passed());
      StartStreamOnce(stream);
      const bool sent = co_await exchange_.Write(*events);
      if (!sent) {
        cancel_.Cancel();
        break;
      }
    }
    if (!ReserveMemory(splitter.pending_bytes(), response, reason)) {
      failure.text = reason->text;
      break;
    }
    bytes_without_event =
        events->empty() ? bytes_without_event + piece->size() : 0;
    if (bytes_without_event > kMaxBytesWithoutEvent) {
      failure.text = std::to_string(bytes_without_event) +
                     " bytes arrived without a new event";
      break;
    }
    if (stream.done()) {
      failure.text = "the stream ended in the middle of an event";
      response.connection_closed = true;
      break;
    }
  }
  if (cancel_.cancelled()) {
    *reason = {ResultCode::kCallerGone, "the caller closed its connection"};
    co_return AttemptResult::kDone;
  }
  response.meter.SetOutcome(AttemptOutcome::kFailed);
  *reason = {
      ResultCode::kTargetFailed,
      "the stream of target " + response.target + " broke: " + failure.text};
  co_return head_sent_ ? AttemptResult::kStreamBroken : AttemptResult::kFailed;
}

}  // namespace turmericwinch
