#include "libs/gateway/answer_relay.h"

#include <utility>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

std::chrono::milliseconds Until(std::chrono::steady_clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time - std::chrono::steady_clock::now());
}

}  // namespace

asio::awaitable<std::optional<HttpResponse>> AnswerRelay::Read(
    RelayedAnswer& answer,
    Reason* reason) {
  HttpResponse response;
  response.status = answer.stream.status();
  HttpFailure failure;
  while (!answer.stream.done()) {
    std::optional<std::string> piece =
        co_await answer.stream.ReadSome(Until(answer.deadline), &failure);
    if (!piece) {
      answer.meter.SetOutcome(cancel_.cancelled() ? AttemptOutcome::kNoVerdict
                                                  : AttemptOutcome::kFailed);
      *reason = {ResultCode::kTargetFailed,
                 "the answer of " + answer.target + " broke: " + failure.text};
      co_return std::nullopt;
    }
    response.body += *piece;
  }
  answer.meter.SetOutcome(
      OutcomeOfStatus(response.status, answer.stream.headers()));
  response.headers = dialect_.answer_headers(answer.stream.headers());
  co_return response;
}

void AnswerRelay::StartOnce(const HttpStream& stream) {
  if (std::exchange(head_sent_, true))
    return;
  exchange_.StartStream(stream.status(),
                        dialect_.answer_headers(stream.headers()));
}

std::optional<std::string> AnswerRelay::NewEvents(std::string_view piece,
                                                  EventSplitter& splitter,
                                                  const RelayedAnswer& answer,
                                                  Reason* reason) {
  splitter.Feed(piece);
  std::string whole;
  while (std::optional<RawEvent> event = splitter.Next()) {
    const EventVerdict verdict = order_.Take(event->id);
    if (verdict == EventVerdict::kMissing) {
      return Fail(reason, ResultCode::kTargetFailed,
                  answer.target + " left out events before " +
                      std::to_string(event->id.value_or(0)));
    }
    if (verdict == EventVerdict::kPass)
      whole += event->bytes;
  }
  return whole;
}

asio::awaitable<AttemptEnd> AnswerRelay::Stream(RelayedAnswer& answer,
                                                Reason* reason) {
  HttpStream& stream = answer.stream;
  EventSplitter splitter;
  HttpFailure failure;
  for (;;) {
    std::optional<std::string> piece =
        co_await stream.ReadSome(Until(answer.deadline), &failure);
    if (!piece || cancel_.cancelled())
      break;
    if (stream.done() && piece->empty() && splitter.pending_bytes() == 0) {
      answer.meter.SetOutcome(AttemptOutcome::kGood);
      StartOnce(stream);
      status_ = stream.status();
      co_await exchange_.EndStream();
      co_return AttemptEnd::kDone;
    }
    std::optional<std::string> events =
        NewEvents(*piece, splitter, answer, reason);
    if (!events) {
      answer.meter.SetOutcome(AttemptOutcome::kWrong);
      co_return head_sent_ ? AttemptEnd::kBroken : AttemptEnd::kLost;
    }
    if (!events->empty()) {
      answer.meter.RecordTokens(order_.passed());
      StartOnce(stream);
      const bool sent = co_await exchange_.Write(*events);
      if (!sent) {
        cancel_.Cancel();
        break;
      }
    }
    if (stream.done()) {
      failure.text = "it ended within an event";
      break;
    }
  }
  if (cancel_.cancelled()) {
    *reason = {ResultCode::kCallerGone, "the caller left"};
    co_return AttemptEnd::kDone;
  }
  answer.meter.SetOutcome(AttemptOutcome::kFailed);
  *reason = {ResultCode::kTargetFailed,
             "the stream of " + answer.target + " broke: " + failure.text};
  co_return head_sent_ ? AttemptEnd::kBroken : AttemptEnd::kLost;
}

}  // namespace turmericwinch
