#include "libs/node/caller_handler.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/node/admission.h"
#include "libs/node/chat_handler.h"
#include "libs/node/node_context.h"
#include "libs/node/plain_handler.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";

asio::awaitable<ResultCode> Dispatch(NodeContext& node,
                                     std::shared_ptr<RequestRecord> record,
                                     const HttpRequest& request,
                                     HttpExchange& exchange) {
  Reason reason;
  if (node.shutting_down)
    reason = {ResultCode::kShuttingDown, "this host is shutting down"};
  std::optional<Caller> caller;
  if (reason.code == ResultCode::kOk)
    caller = AuthenticateCaller(node, request, record, &reason);
  std::string_view path = PathOf(request.target);
  if (caller && path == kChatPath && request.method != "POST") {
    reason = {ResultCode::kMethodNotAllowed,
              "method " + request.method + " is not allowed; use POST"};
  } else if (caller && path == kChatPath) {
    co_return co_await HandleChat(node, *caller, request, exchange);
  } else if (caller && path.starts_with(kServicePrefix)) {
    co_return co_await HandlePlain(node, *caller, request, exchange);
  } else if (caller) {
    reason = {ResultCode::kNotFound,
              "no handler for path " + std::string(path)};
  }
  record->reason = reason.text;
  co_await exchange.Send(
      RefusalResponse(MakeRefusal(reason), record->request_id));
  co_return reason.code;
}

}  // namespace

HttpHandler MakeCallerHandler(NodeContext& node) {
  return [&node](const HttpRequest& request,
                 HttpExchange& exchange) -> asio::awaitable<void> {
    const auto start = std::chrono::steady_clock::now();
    auto record = std::make_shared<RequestRecord>();
    record->request_id = ChooseRequestId(request);
    record->run_id = NewRunId();
    record->target = std::string(PathOf(request.target));
    record->result = co_await Dispatch(node, record, request, exchange);
    record->elapsed = std::chrono::steady_clock::now() - start;
    node.metrics.CountResult(record->result);
    if (exchange.first_byte_at())
      node.metrics.RecordFirstByte(*exchange.first_byte_at() - start);
    node.metrics.RecordWholeAnswer(record->elapsed);
    LogEvent(kLog, Severity::kDebug, "request_done",
             {{"request", record->request_id},
              {"target", record->target},
              {"code", static_cast<int>(record->result)},
              {"result", NameOf(record->result)}});
    node.requests.AddRecord(std::move(record));
  };
}

}  // namespace turmericwinch
