#include "libs/standin/engine_stand_in.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <map>

#include "libs/base/json_fields.h"
#include "libs/standin/fault_switches.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t kDefaultTokens = 16;
constexpr std::int64_t kBytesPerToken = 4;

// What the engine was asked for.
struct EngineJob {
  std::string id;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  bool stream = false;
};

std::optional<EngineJob> JobOf(const HttpRequest& request) {
  std::optional<json::value> value = ParseJson(request.body);
  const json::object* body = value ? value->if_object() : nullptr;
  const json::array* messages = body ? ArrayField(*body, "messages") : nullptr;
  if (!messages)
    return std::nullopt;
  EngineJob job;
  job.id = std::string(request.headers.Get("X-Request-Id"));
  job.max_tokens = IntField(*body, "max_tokens").value_or(kDefaultTokens);
  job.stream = BoolField(*body, "stream").value_or(false);
  for (const json::value& it : *messages) {
    const json::object* message = it.if_object();
    if (!message)
      return std::nullopt;
    const std::string content = StringField(*message, "content").value_or("");
    job.prompt_tokens +=
        static_cast<std::int64_t>(content.size()) / kBytesPerToken + 1;
  }
  return job;
}

json::object UsageOf(const EngineJob& job, std::int64_t output) {
  return {{"prompt_tokens", job.prompt_tokens},
          {"completion_tokens", output},
          {"total_tokens", job.prompt_tokens + output}};
}

std::string TokenText(std::int64_t n) {
  return "t" + std::to_string(n) + " ";
}

std::string TokenEvent(const EngineJob& job, std::int64_t n) {
  json::object event = {
      {"id", job.id},
      {"object", "chat.completion.chunk"},
      {"choices",
       json::array{json::object{
           {"index", 0}, {"delta", json::object{{"content", TokenText(n)}}}}}}};
  return "data: " + json::serialize(event) + "\n\n";
}

std::string LastEvents(const EngineJob& job, std::int64_t output) {
  json::object event = {{"id", job.id},
                        {"object", "chat.completion.chunk"},
                        {"choices", json::array{}},
                        {"usage", UsageOf(job, output)}};
  return "data: " + json::serialize(event) + "\n\ndata: [DONE]\n\n";
}

HttpResponse WholeAnswer(const EngineJob& job, const std::string& text) {
  json::object message = {{"role", "assistant"}, {"content", text}};
  json::object answer = {
      {"id", job.id},
      {"object", "chat.completion"},
      {"choices",
       json::array{json::object{
           {"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
      {"usage", UsageOf(job, job.max_tokens)}};
  return JsonResponse(200, json::serialize(answer));
}

}  // namespace

class EngineStandIn::Private {
 public:
  Private(asio::io_context& context, std::string name, EngineSpeed speed)
      : context(context), name(std::move(name)), speed(speed) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpExchange& exchange);
  asio::awaitable<void> Generate(const EngineJob& job, HttpExchange& exchange);
  asio::awaitable<void> Pause(std::chrono::microseconds time);

  asio::io_context& context;
  std::string name;
  EngineSpeed speed;
  FaultSwitches faults;
  std::map<std::string, std::int64_t> tokens_of_request;
  std::map<std::string, std::int64_t> runs_of_request;
};

EngineStandIn::EngineStandIn(asio::io_context& context,
                             std::string name,
                             EngineSpeed speed)
    : d_(std::make_shared<Private>(context, std::move(name), speed)) {}

EngineStandIn::~EngineStandIn() = default;

HttpHandler EngineStandIn::Handler() {
  return [d = d_](const HttpRequest& request, HttpExchange& exchange) {
    return d->Handle(request, exchange);
  };
}

asio::awaitable<void> EngineStandIn::Private::Pause(
    std::chrono::microseconds time) {
  if (time.count() <= 0)
    co_return;
  asio::steady_timer timer(context);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EngineStandIn::Private::Handle(const HttpRequest& request,
                                                     HttpExchange& exchange) {
  if (co_await HandleFaultRequest(faults, request, exchange))
    co_return;
  if (request.target == "/stats") {
    json::object stats = {{"tokens", json::value_from(tokens_of_request)},
                          {"runs", json::value_from(runs_of_request)}};
    co_await exchange.Send(JsonResponse(200, json::serialize(stats)));
    co_return;
  }
  if (!co_await PassFaults(faults, request, exchange))
    co_return;
  std::optional<EngineJob> job = JobOf(request);
  if (!job) {
    co_await exchange.Send(JsonResponse(400, "{\"error\":\"bad request\"}"));
    co_return;
  }
  ++runs_of_request[job->id];
  co_await Generate(*job, exchange);
}

asio::awaitable<void> EngineStandIn::Private::Generate(const EngineJob& job,
                                                       HttpExchange& exchange) {
  co_await Pause(speed.first_token);
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  if (job.stream && !co_await exchange.StartStream(200, headers))
    co_return;
  std::string text;
  for (std::int64_t n = 0; n < job.max_tokens; ++n) {
    if (n > 0)
      co_await Pause(speed.between_tokens);
    ++tokens_of_request[job.id];
    if (!job.stream)
      text += TokenText(n);
    else if (!co_await exchange.Write(TokenEvent(job, n)))
      co_return;
  }
  tokens_of_request[job.id] += job.prompt_tokens;
  if (!job.stream) {
    co_await exchange.Send(WholeAnswer(job, text));
    co_return;
  }
  co_await exchange.Write(LastEvents(job, job.max_tokens));
  co_await exchange.EndStream();
}

}  // namespace turmericwinch
