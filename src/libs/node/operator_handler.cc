#include "libs/node/operator_handler.h"

#include <boost/asio.hpp>

#include "libs/base/digest.h"
#include "libs/node/node_context.h"
#include "libs/node/platform_metrics.h"
#include "libs/node/refusal.h"
#include "libs/node/state_dump.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;

HttpResponse TextResponse(std::string body) {
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(body);
  return response;
}

HttpResponse Refused(ResultCode code, std::string text) {
  return RefusalResponse(MakeRefusal({code, std::move(text)}), "");
}

HttpResponse Readiness(NodeContext& node) {
  if (node.shutting_down)
    return Refused(ResultCode::kShuttingDown, "this host is shutting down");
  if (!node.config.Get())
    return Refused(ResultCode::kNoConfig, node.config_watcher->Problem());
  if (!node.targets_known) {
    return Refused(
        ResultCode::kNotReady,
        "no host list has been received from the platform or a peer yet");
  }
  return JsonResponse(kStatusOk, "{\"ready\":true}");
}

HttpResponse Answer(NodeContext& node, const HttpRequest& request) {
  std::string_view path = PathOf(request.target);
  if (path == "/healthz")
    return JsonResponse(kStatusOk, "{\"healthy\":true}");
  if (path == "/readyz")
    return Readiness(node);
  const std::string expected = "Bearer " + node.settings.operator_token;
  if (!EqualInConstantTime(request.headers.Get("Authorization"), expected))
    return Refused(ResultCode::kUnauthorized,
                   "the operators' token is missing or wrong");
  if (path == "/metrics")
    return TextResponse(node.metrics.Exposition() +
                        PlatformMetricsText(*node.platform));
  if (path == "/dump")
    return JsonResponse(kStatusOk, DumpState(node));
  if (path == "/requests")
    return JsonResponse(kStatusOk, ToJson(node.requests.FindRecords(
                                       QueryParameter(request.target, "id"))));
  if (path == "/drain" && request.method == "POST") {
    node.start_shutdown();
    return JsonResponse(kStatusOk, "{\"draining\":true}");
  }
  if (path == "/drain")
    return Refused(ResultCode::kMethodNotAllowed,
                   "the method is not allowed, use POST");
  return Refused(ResultCode::kNotFound, "no resource at " + std::string(path));
}

}  // namespace

HttpHandler MakeOperatorHandler(NodeContext& node) {
  return [&node](const HttpRequest& request,
                 HttpExchange& exchange) -> asio::awaitable<void> {
    co_await exchange.Send(Answer(node, request));
  };
}

}  // namespace turmericwinch
