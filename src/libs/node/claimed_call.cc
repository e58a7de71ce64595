#include "libs/node/claimed_call.h"

#include "libs/base/digest.h"

namespace turmericwinch {

namespace asio = boost::asio;

ClaimRequest MakeClaimRequest(const Caller& caller,
                              const HttpRequest& request,
                              const std::string& key,
                              std::chrono::milliseconds deadline) {
  const std::string digest =
      Sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
  return {caller.team->name, key, digest, deadline};
}

asio::awaitable<ClaimResult> FindExistingClaim(
    NodeContext& node,
    const ClaimRequest& claim_request,
    const Reason& reason) {
  ClaimResult found =
      co_await RunOnControl(node, node.claims->Find(claim_request));
  if (found.stored_response || found.reason.code != ResultCode::kOk)
    co_return found;
  found.reason = reason;
  found.ran = RanState::kNotRun;
  co_return found;
}

asio::awaitable<ResultCode> SendRefusal(const Caller& caller,
                                        const Refusal& refusal,
                                        HttpExchange& exchange) {
  caller.record->reason = refusal.reason.text;
  co_await exchange.Send(RefusalResponse(refusal, caller.request_id));
  co_return refusal.reason.code;
}

asio::awaitable<ResultCode> SendStoredAnswer(const Caller& caller,
                                             HttpResponse stored,
                                             HttpExchange& exchange) {
  stored.headers.Add("X-Request-Id", caller.request_id);
  const bool sent = co_await exchange.Send(stored);
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

}  // namespace turmericwinch
