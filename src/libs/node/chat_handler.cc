#include "libs/node/chat_handler.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <set>

#include "libs/base/json_fields.h"
#include "libs/base/log.h"
#include "libs/http/sse_parser.h"
#include "libs/node/chat_request.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr LogCategory kLog{"node"};
constexpr std::string_view kStreamEnd = "[DONE]";
constexpr int kStatusOk = 200;

// One chat completion on its way.
class ChatCall {
 public:
  ChatCall(NodeContext& node,
           const Caller& caller,
           const ServiceConfig& service,
           ChatRequest request,
           ReservedTokens reserved,
           HttpExchange& exchange)
      : node_(node),
        caller_(caller),
        service_(service),
        request_(std::move(request)),
        reserved_(std::move(reserved)),
        exchange_(exchange) {}

  // Tries targets until one answers or the attempts are used up.
  asio::awaitable<ResultCode> Run() {
    std::set<std::string> excluded;
    Refusal refusal;
    for (int n = 0; n < kTargetAttempts; ++n) {
      Reason reason;
      std::optional<TargetChoice> choice =
          node_.targets->Begin(service_.name, excluded, &reason);
      if (!choice) {
        if (n == 0)
          refusal = MakeRefusal(reason);
        break;
      }
      std::optional<ResultCode> result = co_await Attempt(*choice, &refusal);
      node_.targets->End(*choice);
      if (result)
        co_return *result;
      excluded.insert(choice->name);
    }
    co_await exchange_.Send(RefusalResponse(refusal, caller_.request_id));
    co_return refusal.reason.code;
  }

 private:
  HttpRequest TargetRequest() const {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.Add("Content-Type", "application/json");
    request.headers.Add("X-Request-Id", caller_.request_id);
    request.headers.Add("X-Priority", std::to_string(caller_.team->priority));
    request.body = json::serialize(request_.body);
    return request;
  }

  // One attempt on one target. Nothing if another target may be tried.
  asio::awaitable<std::optional<ResultCode>> Attempt(const TargetChoice& choice,
                                                     Refusal* refusal) {
    std::optional<asio::ip::tcp::endpoint> endpoint =
        ParseEndpoint(choice.address);
    HttpClient& client = *node_.clients[exchange_.thread_index()];
    HttpTimeouts timeouts;
    timeouts.first_byte = service_.deadline;
    timeouts.between_bytes = service_.deadline;
    HttpFailure failure;
    std::unique_ptr<HttpStream> stream;
    if (endpoint) {
      stream =
          co_await client.Open(*endpoint, TargetRequest(), timeouts, &failure);
    }
    if (!stream || stream->status() != kStatusOk) {
      std::string text =
          stream ? "target " + choice.name + " answered " +
                       std::to_string(stream->status())
                 : "target " + choice.name + " failed: " + failure.text;
      LogEvent(kLog, Severity::kWarning, "attempt_failed",
               {{"request", caller_.request_id},
                {"target", choice.name},
                {"reason", text}});
      *refusal = MakeRefusal(
          {ResultCode::kTargetFailed, std::move(text)},
          failure.may_have_arrived ? RanState::kUnknown : RanState::kNotRun);
      co_return std::nullopt;
    }
    if (request_.stream)
      co_return co_await Relay(*stream, timeouts);
    co_return co_await RelayWhole(*stream, timeouts, refusal);
  }

  asio::awaitable<std::optional<ResultCode>> RelayWhole(HttpStream& stream,
                                                        HttpTimeouts timeouts,
                                                        Refusal* refusal) {
    std::string body;
    HttpFailure failure;
    while (!stream.done()) {
      std::optional<std::string> piece =
          co_await stream.ReadSome(timeouts.between_bytes, &failure);
      if (!piece) {
        *refusal = MakeRefusal({ResultCode::kTargetFailed, failure.text},
                               RanState::kUnknown);
        co_return std::nullopt;
      }
      body += *piece;
    }
    std::optional<json::value> value = ParseJson(body);
    const json::object* answer = value ? value->if_object() : nullptr;
    if (!answer || !NoteUsage(*answer)) {
      *refusal = MakeRefusal(
          {ResultCode::kTargetFailed, "the target's answer has no usage"},
          RanState::kRan);
      co_return std::nullopt;
    }
    reserved_.Settle(caller_, service_.name, usage_);
    HttpResponse response = JsonResponse(kStatusOk, std::move(body));
    response.headers.Add("X-Request-Id", caller_.request_id);
    const bool sent = co_await exchange_.Send(response);
    co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
  }

  // Passes events on as they come. Once the first is out, no other target is
  // tried.
  asio::awaitable<std::optional<ResultCode>> Relay(HttpStream& stream,
                                                   HttpTimeouts timeouts) {
    HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("Cache-Control", "no-store");
    headers.Add("X-Request-Id", caller_.request_id);
    bool caller_there = co_await exchange_.StartStream(kStatusOk, headers);
    SseParser parser;
    HttpFailure failure;
    bool ended = false;
    while (caller_there && !ended && !stream.done()) {
      std::optional<std::string> piece =
          co_await stream.ReadSome(timeouts.between_bytes, &failure);
      if (!piece)
        break;
      parser.Feed(*piece);
      std::string out;
      while (std::optional<std::string> event = parser.Next()) {
        ended = *event == kStreamEnd;
        if (!ended)
          NoteEvent(*event);
        out += "data: " + *event + "\n\n";
      }
      caller_there = co_await exchange_.Write(out);
    }
    reserved_.Settle(caller_, service_.name, BilledTokens());
    if (!caller_there) {
      exchange_.Abort();
      co_return ResultCode::kCallerGone;
    }
    if (!ended) {
      Refusal refusal = MakeRefusal(
          {ResultCode::kTargetFailed, "the answer broke off: " + failure.text},
          RanState::kRan);
      co_await exchange_.Write(
          "data: " + RefusalBody(refusal, caller_.request_id) + "\n\n");
    }
    co_await exchange_.EndStream();
    co_return ended ? ResultCode::kOk : ResultCode::kTargetFailed;
  }

  void NoteEvent(std::string_view event) {
    std::optional<json::value> value = ParseJson(event);
    const json::object* object = value ? value->if_object() : nullptr;
    if (!object)
      return;
    if (!NoteUsage(*object))
      ++events_;
  }

  // Takes over the usage that the engine reports. False if it has none.
  bool NoteUsage(const json::object& answer) {
    const json::object* usage = ObjectField(answer, "usage");
    if (!usage)
      return false;
    const std::int64_t prompt = IntField(*usage, "prompt_tokens").value_or(0);
    const std::int64_t output =
        IntField(*usage, "completion_tokens").value_or(0);
    usage_ =
        std::max<std::int64_t>(prompt, 0) + std::max<std::int64_t>(output, 0);
    has_usage_ = true;
    return true;
  }

  // What the team pays: the usage, or, if the stream broke before it, the
  // tokens that were passed on.
  std::int64_t BilledTokens() const { return has_usage_ ? usage_ : events_; }

  NodeContext& node_;
  const Caller& caller_;
  const ServiceConfig& service_;
  ChatRequest request_;
  ReservedTokens reserved_;
  HttpExchange& exchange_;
  std::int64_t events_ = 0;
  std::int64_t usage_ = 0;
  bool has_usage_ = false;
};

asio::awaitable<ResultCode> Refuse(const Caller& caller,
                                   const Reason& reason,
                                   HttpExchange& exchange) {
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
  std::optional<ChatRequest> chat = ChatRequestOf(request.body, &reason);
  if (!chat)
    co_return co_await Refuse(caller, reason, exchange);
  const ServiceConfig* service = caller.config->Service(chat->model);
  if (!service || service->protocol != ServiceProtocol::kModel) {
    reason = {ResultCode::kNotFound, "no model is named " + chat->model};
    co_return co_await Refuse(caller, reason, exchange);
  }
  if (chat->max_tokens == 0)
    chat->max_tokens = service->most_output_tokens;
  if (chat->max_tokens > service->most_output_tokens) {
    reason = {ResultCode::kBadRequest,
              "'max_tokens' is above the " +
                  std::to_string(service->most_output_tokens) + " of " +
                  service->name};
    co_return co_await Refuse(caller, reason, exchange);
  }
  chat->body["max_tokens"] = chat->max_tokens;
  std::optional<ReservedTokens> reserved = co_await ReserveTokens(
      node, caller, *service, chat->prompt_bound + chat->max_tokens, &reason);
  if (!reserved)
    co_return co_await Refuse(caller, reason, exchange);
  ChatCall call(node, caller, *service, std::move(*chat), std::move(*reserved),
                exchange);
  co_return co_await call.Run();
}

}  // namespace turmericwinch
