// What calls that run at most once share, of models and of plain services.

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

// Runs `action` on the control thread, where claims are kept.
template <typename T>
boost::asio::awaitable<T> OnControl(NodeContext& node,
                                    boost::asio::awaitable<T> action) {
  co_return co_await boost::asio::co_spawn(node.control, std::move(action),
                                           boost::asio::use_awaitable);
}

// The claim on `request`, which its caller named `key`.
ClaimRequest ClaimRequestOf(const Caller& caller,
                            const HttpRequest& request,
                            const std::string& key,
                            std::chrono::milliseconds deadline);

// The answer when the budget has no tokens, for `reason`: a retry of a call
// that ran is still told so, since it costs nothing. Never `held`.
boost::asio::awaitable<ClaimResult> FindUnpaid(NodeContext& node,
                                               const ClaimRequest& wish,
                                               const Reason& reason);

// Refuses the request, or gives its caller the kept answer. Both answer the
// result that is counted and logged.
boost::asio::awaitable<ResultCode> Refuse(const Caller& caller,
                                          const Refusal& refusal,
                                          HttpExchange& exchange);
boost::asio::awaitable<ResultCode> Replay(const Caller& caller,
                                          HttpResponse kept,
                                          HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CLAIMED_CALL_H_
