#include "libs/node/keyed_chat.h"

#include <boost/asio.hpp>

#include "libs/node/chat_call.h"
#include "libs/node/claimed_call.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;

// Ends the shared answer of a run, whatever way the run ends.
class AnswerRun {
 public:
  // `name` is empty if no other can join the run.
  AnswerRun(SharedAnswers& answers,
            std::string name,
            std::shared_ptr<SharedAnswer> answer)
      : answers_(answers), name_(std::move(name)), answer_(std::move(answer)) {}
  AnswerRun(const AnswerRun&) = delete;
  AnswerRun& operator=(const AnswerRun&) = delete;
  ~AnswerRun() {
    answer_->EndWith(
        MakeRefusal({ResultCode::kInternal, "the request was not handled"},
                    RanState::kUnknown));
    if (!name_.empty())
      answers_.End(name_, true);
  }

  const std::shared_ptr<SharedAnswer>& answer() const { return answer_; }

 private:
  SharedAnswers& answers_;
  std::string name_;
  std::shared_ptr<SharedAnswer> answer_;
};

void StartFollowing(const Caller& caller, HttpExchange& exchange) {
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("Idempotent-Replayed", "true");
  headers.Add("X-Request-Id", caller.request_id);
  exchange.StartStream(kStatusOk, headers);
}

// Gives the caller another request's answer, from its start and as it comes.
asio::awaitable<ResultCode> Follow(const Caller& caller,
                                   SharedAnswer& answer,
                                   HttpExchange& exchange) {
  std::size_t sent = 0;
  for (;;) {
    AnswerPart part = co_await answer.Next(sent);
    if (sent == 0 && part.refusal)
      co_return co_await Refuse(caller, *part.refusal, exchange);
    if (part.response) {
      if (!part.response->headers.Has("Idempotent-Replayed"))
        part.response->headers.Add("Idempotent-Replayed", "true");
      co_return co_await Replay(caller, std::move(*part.response), exchange);
    }
    if (sent == 0)
      StartFollowing(caller, exchange);
    if (part.refusal)
      part.bytes +=
          "data: " + RefusalBody(*part.refusal, caller.request_id) + "\n\n";
    sent += part.bytes.size();
    const bool there = co_await exchange.Write(part.bytes);
    if (!there)
      co_return ResultCode::kCallerGone;
    if (!part.ended)
      continue;
    const bool ended = co_await exchange.EndStream();
    if (part.refusal)
      co_return part.refusal->reason.code;
    if (!part.whole)
      co_return ResultCode::kTargetFailed;
    co_return ended ? ResultCode::kOk : ResultCode::kCallerGone;
  }
}

// Records what became of the claimed run. A run that answered nothing bills
// nothing either, so that its key may be used again.
asio::awaitable<void> Settle(NodeContext& node,
                             const ClaimSession& claim,
                             const ChatCall& call,
                             const SharedAnswer& answer) {
  if (!call.answer_started()) {
    co_await OnControl(node, node.claims->Abandon(claim));
    co_return;
  }
  if (!call.whole())
    co_await OnControl(node, node.claims->Complete(claim, std::nullopt));
  else if (std::optional<HttpResponse> kept = answer.Whole())
    co_await OnControl(node, node.claims->Complete(claim, std::move(kept)));
  else
    co_await OnControl(node, node.claims->CompleteWithoutResponse(claim));
}

// Claims and runs the chat.
asio::awaitable<ResultCode> ClaimAndRun(NodeContext& node,
                                        const Caller& caller,
                                        const ServiceConfig& service,
                                        ChatRequest chat,
                                        ClaimRequest wish,
                                        std::shared_ptr<SharedAnswer> answer,
                                        HttpExchange& exchange) {
  Reason reason;
  ClaimResult taken;
  std::optional<ReservedTokens> reserved = co_await ReserveTokens(
      node, caller, service, chat.prompt_bound + chat.max_tokens, &reason);
  if (reserved)
    taken = co_await OnControl(node, node.claims->Acquire(wish));
  else
    taken = co_await FindUnpaid(node, wish, reason);
  if (taken.stored_response) {
    answer->EndWith(*taken.stored_response);
    co_return co_await Replay(caller, std::move(*taken.stored_response),
                              exchange);
  }
  if (!taken.session) {
    const Refusal refusal = MakeRefusal(taken.reason, taken.ran);
    answer->EndWith(refusal);
    co_return co_await Refuse(caller, refusal, exchange);
  }
  ChatCall call(node, caller, service, std::move(chat), std::move(*reserved),
                exchange);
  call.SetKeyed(&*taken.session, answer);
  const ResultCode code = co_await call.Run();
  co_await Settle(node, *taken.session, call, *answer);
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
  ClaimRequest wish = ClaimRequestOf(caller, request, key, service.deadline);
  std::string name = ClaimName(wish.team, wish.key);
  KeyedAnswer keyed = node.answers.Begin(name, wish.body_digest);
  if (keyed.verdict == KeyVerdict::kReused) {
    const Refusal refusal =
        MakeRefusal({ResultCode::kKeyReused,
                     "the idempotency key was used for another request"});
    co_return co_await Refuse(caller, refusal, exchange);
  }
  if (keyed.verdict == KeyVerdict::kJoin) {
    node.metrics.CountEvent(DeliveryEvent::kJoinedAnswer);
    caller.record->reason = "given the answer of a request with its key";
    co_return co_await Follow(caller, *keyed.answer, exchange);
  }
  if (keyed.verdict == KeyVerdict::kRunAlone)
    name.clear();
  AnswerRun run(node.answers, std::move(name), std::move(keyed.answer));
  co_return co_await ClaimAndRun(node, caller, service, std::move(chat),
                                 std::move(wish), run.answer(), exchange);
}

}  // namespace turmericwinch
