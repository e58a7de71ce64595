#include "libs/node/claimed_call.h"

#include "libs/base/digest.h"

namespace turmericwinch {

namespace asio = boost::asio;

ClaimRequest ClaimRequestOf(const Caller& caller,
                            const HttpRequest& request,
                            const std::string& key,
                            std::chrono::milliseconds deadline) {
  const std::string digest =
      Sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
  return {caller.team->name, key, digest, deadline};
}

asio::awaitable<ClaimResult> FindUnpaid(NodeContext& node,
                                        const ClaimRequest& wish,
                                        const Reason& reason) {
  ClaimResult found = co_await OnControl(node, node.claims->Find(wish));
  if (found.stored_response || found.reason.code != ResultCode::kOk)
    co_return found;
  found.reason = reason;
  found.ran = RanState::kNotRun;
  co_return found;
}

asio::awaitable<ResultCode> Refuse(const Caller& caller,
                                   const Refusal& refusal,
                                   HttpExchange& exchange) {
  caller.record->reason = refusal.reason.text;
  co_await exchange.Send(RefusalResponse(refusal, caller.request_id));
  co_return refusal.reason.code;
}

asio::awaitable<ResultCode> Replay(const Caller& caller,
                                   HttpResponse kept,
                                   HttpExchange& exchange) {
  kept.headers.Add("X-Request-Id", caller.request_id);
  const bool sent = co_await exchange.Send(kept);
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

}  // namespace turmericwinch
