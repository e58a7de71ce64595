// Helpers for calls that run at most once, to models and to plain services.

#ifndef SRC_LIBS_NODE_CLAIMED_CALL_H_
#define SRC_LIBS_NODE_CLAIMED_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string>

#include "libs/http/http_message.h"
#include "libs/http/http_server.h"
#include "libs/node/admission.h"
#include "libs/node/claim_manager.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

// Runs `action` on the control thread, which owns the claims.
template <typename T>
boost::asio::awaitable<T> RunOnControl(NodeContext& node,
                                       boost::asio::awaitable<T> action) {
  co_return co_await boost::asio::co_spawn(node.control, std::move(action),
                                           boost::asio::use_awaitable);
}

// Returns the claim to make on `request`, sent with the idempotency key `key`.
ClaimRequest MakeClaimRequest(const Caller& caller,
                              const HttpRequest& request,
                              const std::string& key,
                              std::chrono::milliseconds deadline);

// Looks for an existing claim when tokens could not be reserved for `reason`: a
// retry of a call that already ran costs no tokens and still gets its outcome.
// Without an existing claim the result is a refusal for `reason`. `session` is
// never set.
boost::asio::awaitable<ClaimResult> FindExistingClaim(
    NodeContext& node,
    const ClaimRequest& claim_request,
    const Reason& reason);

// Sends a refusal or a stored answer to the caller. Both return the result to
// be counted and logged.
boost::asio::awaitable<ResultCode> SendRefusal(const Caller& caller,
                                               const Refusal& refusal,
                                               HttpExchange& exchange);
boost::asio::awaitable<ResultCode> SendStoredAnswer(const Caller& caller,
                                                    HttpResponse stored,
                                                    HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CLAIMED_CALL_H_
