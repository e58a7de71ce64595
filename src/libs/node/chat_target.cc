#include "libs/node/chat_target.h"

#include <boost/json/serialize.hpp>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace asio = boost::asio;

HttpRequest MakeChatTargetRequest(const Caller& caller,
                                  boost::json::object body,
                                  const ChatProgress& progress) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("X-Request-Id", progress.attempt_id());
  request.headers.Add("X-Caller-Request-Id", caller.request_id);
  request.headers.Add("X-Priority", std::to_string(caller.team->priority));
  if (progress.tokens() > 0) {
    request.headers.Add("X-Resume-Id", progress.resumed_id());
    request.headers.Add("X-Resume-From", std::to_string(progress.tokens()));
    body["resume_text"] = progress.text();
  }
  request.body = boost::json::serialize(body);
  return request;
}

asio::awaitable<std::optional<HttpResponse>> CancelChat(
    HttpClient& client,
    asio::ip::tcp::endpoint endpoint,
    std::string id) {
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/v1/requests/" + id;
  const HttpTimeouts timeouts{kTargetConnectTimeout, kTargetProbeTimeout,
                              kTargetProbeTimeout};
  HttpFailure failure;
  co_return co_await client.Call(endpoint, request, timeouts, &failure);
}

}  // namespace turmericwinch
