#include "libs/node/chat_handler.h"

#include <boost/asio.hpp>

#include "libs/node/chat_call.h"
#include "libs/node/chat_request.h"
#include "libs/node/keyed_chat.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

asio::awaitable<ResultCode> SendRefusal(const Caller& caller,
                                        const Reason& reason,
                                        HttpExchange& exchange) {
  caller.record->reason = reason.text;
  co_await exchange.Send(
      RefusalResponse(MakeRefusal(reason), caller.request_id));
  co_return reason.code;
}

}  // namespace

asio::awaitable<ResultCode> HandleChat(NodeContext& node,
                                       const Caller& caller,
                                       const HttpRequest& request,
                                       HttpExchange& exchange) {
  Reason reason;
  std::optional<ChatRequest> chat = ParseChatRequest(request.body, &reason);
  if (!chat)
    co_return co_await SendRefusal(caller, reason, exchange);
  const ServiceConfig* service = caller.config->Service(chat->model);
  if (!service || service->protocol != ServiceProtocol::kModel) {
    reason = {ResultCode::kNotFound, "no model has the name " + chat->model};
    co_return co_await SendRefusal(caller, reason, exchange);
  }
  const RouteConfig* route =
      caller.config->Route(service->name, service->name, request.method);
  if (route && !IsRouteOpenTo(*route, *caller.team)) {
    reason = {
        ResultCode::kForbidden,
        "model " + service->name + " is not open to team " + caller.team->name};
    co_return co_await SendRefusal(caller, reason, exchange);
  }
  if (chat->max_tokens == 0)
    chat->max_tokens = service->most_output_tokens;
  if (chat->max_tokens > service->most_output_tokens) {
    reason = {ResultCode::kBadRequest,
              "'max_tokens' exceeds the limit of " +
                  std::to_string(service->most_output_tokens) + " for model " +
                  service->name};
    co_return co_await SendRefusal(caller, reason, exchange);
  }
  chat->body["max_tokens"] = chat->max_tokens;
  std::string key(request.headers.Get("Idempotency-Key"));
  if (!key.empty()) {
    co_return co_await HandleKeyedChat(node, caller, *service, request,
                                       std::move(*chat), std::move(key),
                                       exchange);
  }
  std::optional<TokenReservation> reserved = co_await ReserveTokens(
      node, caller, *service, chat->prompt_bound + chat->max_tokens, &reason);
  if (!reserved)
    co_return co_await SendRefusal(caller, reason, exchange);
  ChatCall call(node, caller, *service, std::move(*chat), std::move(*reserved),
                exchange);
  co_return co_await call.Run();
}

}  // namespace turmericwinch
