#include "libs/node/keyed_chat.h"

#include <boost/asio.hpp>

#include "libs/node/chat_call.h"
#include "libs/node/claimed_call.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;

// Ends the shared answer of a run, also if the run ends without an answer.
class SharedAnswerRun {
 public:
  // `name` is empty if no other request can join the run.
  SharedAnswerRun(SharedAnswers& answers,
                  std::string name,
                  std::shared_ptr<SharedAnswer> answer)
      : answers_(answers), name_(std::move(name)), answer_(std::move(answer)) {}
  SharedAnswerRun(const SharedAnswerRun&) = delete;
  SharedAnswerRun& operator=(const SharedAnswerRun&) = delete;
  ~SharedAnswerRun() {
    answer_->EndWith(
        MakeRefusal({ResultCode::kInternal, "the request was not handled"},
                    RanState::kUnknown));
    if (!name_.empty())
      answers_.EndRun(name_, true);
  }

  const std::shared_ptr<SharedAnswer>& answer() const { return answer_; }

 private:
  SharedAnswers& answers_;
  std::string name_;
  std::shared_ptr<SharedAnswer> answer_;
};

void StartReplayedStream(const Caller& caller, HttpExchange& exchange) {
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("Idempotent-Replayed", "true");
  headers.Add("X-Request-Id", caller.request_id);
  exchange.StartStream(kStatusOk, headers);
}

// Relays another request's answer to the caller, from its start, as it arrives.
asio::awaitable<ResultCode> RelaySharedAnswer(const Caller& caller,
                                              SharedAnswer& answer,
                                              HttpExchange& exchange) {
  std::size_t sent = 0;
  for (;;) {
    AnswerPart part = co_await answer.WaitForPart(sent);
    if (sent == 0 && part.refusal)
      co_return co_await SendRefusal(caller, *part.refusal, exchange);
    if (part.response) {
      if (!part.response->headers.Has("Idempotent-Replayed"))
        part.response->headers.Add("Idempotent-Replayed", "true");
      co_return co_await SendStoredAnswer(caller, std::move(*part.response),
                                          exchange);
    }
    if (sent == 0)
      StartReplayedStream(caller, exchange);
    if (part.refusal)
      part.bytes +=
          "data: " + RefusalBody(*part.refusal, caller.request_id) + "\n\n";
    sent += part.bytes.size();
    const bool caller_connected = co_await exchange.Write(part.bytes);
    if (!caller_connected)
      co_return ResultCode::kCallerGone;
    if (!part.ended)
      continue;
    const bool ended = co_await exchange.EndStream();
    if (part.refusal)
      co_return part.refusal->reason.code;
    if (!part.complete)
      co_return ResultCode::kTargetFailed;
    co_return ended ? ResultCode::kOk : ResultCode::kCallerGone;
  }
}

// Records the outcome of the claimed run. A run that delivered nothing is not
// billed, so its claim is removed and the key may be used again.
asio::awaitable<void> SettleClaim(NodeContext& node,
                                  const ClaimSession& claim,
                                  const ChatCall& call,
                                  const SharedAnswer& answer) {
  if (!call.answer_started()) {
    co_await RunOnControl(node, node.claims->Abandon(claim));
    co_return;
  }
  if (!call.answer_complete())
    co_await RunOnControl(node, node.claims->Complete(claim, std::nullopt));
  else if (std::optional<HttpResponse> kept = answer.CompleteResponse())
    co_await RunOnControl(node, node.claims->Complete(claim, std::move(kept)));
  else
    co_await RunOnControl(node, node.claims->CompleteWithoutResponse(claim));
}

// Claims and runs the chat.
asio::awaitable<ResultCode> ClaimAndRun(NodeContext& node,
                                        const Caller& caller,
                                        const ServiceConfig& service,
                                        ChatRequest chat,
                                        ClaimRequest claim_request,
                                        std::shared_ptr<SharedAnswer> answer,
                                        HttpExchange& exchange) {
  Reason reason;
  ClaimResult claim_result;
  std::optional<TokenReservation> reserved = co_await ReserveTokens(
      node, caller, service, chat.prompt_bound + chat.max_tokens, &reason);
  if (reserved)
    claim_result =
        co_await RunOnControl(node, node.claims->Acquire(claim_request));
  else
    claim_result = co_await FindExistingClaim(node, claim_request, reason);
  if (claim_result.stored_response) {
    answer->EndWith(*claim_result.stored_response);
    co_return co_await SendStoredAnswer(
        caller, std::move(*claim_result.stored_response), exchange);
  }
  if (!claim_result.session) {
    const Refusal refusal = MakeRefusal(claim_result.reason, claim_result.ran);
    answer->EndWith(refusal);
    co_return co_await SendRefusal(caller, refusal, exchange);
  }
  ChatCall call(node, caller, service, std::move(chat), std::move(*reserved),
                exchange);
  call.SetClaim(&*claim_result.session, answer);
  const ResultCode code = co_await call.Run();
  co_await SettleClaim(node, *claim_result.session, call, *answer);
  co_return code;
}

}  // namespace

asio::awaitable<ResultCode> HandleKeyedChat(NodeContext& node,
                                            const Caller& caller,
                                            const ServiceConfig& service,
                                            const HttpRequest& request,
                                            ChatRequest chat,
                                            std::string key,
                                            HttpExchange& exchange) {
  ClaimRequest claim_request =
      MakeClaimRequest(caller, request, key, service.deadline);
  std::string name = ClaimName(claim_request.team, claim_request.key);
  KeyedAnswer keyed = node.answers.BeginRun(name, claim_request.body_digest);
  if (keyed.verdict == KeyVerdict::kReused) {
    const Refusal refusal =
        MakeRefusal({ResultCode::kKeyReused,
                     "the idempotency key was used for another request"});
    co_return co_await SendRefusal(caller, refusal, exchange);
  }
  if (keyed.verdict == KeyVerdict::kJoin) {
    node.metrics.CountEvent(DeliveryEvent::kJoinedAnswer);
    caller.record->reason =
        "received the answer of another request with the same idempotency key";
    co_return co_await RelaySharedAnswer(caller, *keyed.answer, exchange);
  }
  if (keyed.verdict == KeyVerdict::kRunAlone)
    name.clear();
  SharedAnswerRun run(node.answers, std::move(name), std::move(keyed.answer));
  co_return co_await ClaimAndRun(node, caller, service, std::move(chat),
                                 std::move(claim_request), run.answer(),
                                 exchange);
}

}  // namespace turmericwinch
