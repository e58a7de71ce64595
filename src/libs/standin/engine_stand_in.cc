#include "libs/standin/engine_stand_in.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>

#include "libs/base/json_fields.h"
#include "libs/standin/engine_faults.h"
#include "libs/standin/engine_slots.h"
#include "libs/standin/fault_switches.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t kDefaultTokens = 16;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::chrono::hours kSilence{1};

// What the engine was asked for.
struct EngineJob {
  std::string id;
  // The caller's id, by which runs and tokens are counted.
  std::string account;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  std::int64_t first = 0;
  bool stream = false;
};

std::string AccountOf(const HttpRequest& request) {
  const bool has = request.headers.Has("X-Caller-Request-Id");
  return std::string(
      request.headers.Get(has ? "X-Caller-Request-Id" : "X-Request-Id"));
}

std::optional<EngineJob> JobOf(const HttpRequest& request) {
  std::optional<json::value> value = ParseJson(request.body);
  const json::object* body = value ? value->if_object() : nullptr;
  const json::array* messages = body ? ArrayField(*body, "messages") : nullptr;
  if (!messages)
    return std::nullopt;
  EngineJob job;
  job.id = std::string(request.headers.Get("X-Request-Id"));
  job.account = AccountOf(request);
  job.max_tokens = IntField(*body, "max_tokens").value_or(kDefaultTokens);
  std::string_view from = request.headers.Get("X-Resume-From");
  std::from_chars(from.data(), from.data() + from.size(), job.first);
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

std::string TokenEvent(const EngineJob& job,
                       std::int64_t n,
                       const EngineFaults& faults) {
  if (faults.bad_json)
    return "data: {\"id\n\n";
  json::object event = {
      {"id", faults.wrong_id ? "other" : job.id},
      {"object", "chat.completion.chunk"},
      {"choices",
       json::array{json::object{
           {"index", 0}, {"delta", json::object{{"content", TokenText(n)}}}}}}};
  return "data: " + json::serialize(event) + "\n\n";
}

std::string LastEvents(const EngineJob& job,
                       std::int64_t output,
                       const EngineFaults& faults) {
  const std::string end = "data: [DONE]\n\n";
  if (faults.no_usage)
    return end;
  json::object event = {{"id", job.id},
                        {"object", "chat.completion.chunk"},
                        {"choices", json::array{}},
                        {"usage", UsageOf(job, output)}};
  return "data: " + json::serialize(event) + "\n\n" + end;
}

HttpResponse WholeAnswer(const EngineJob& job,
                         const std::string& text,
                         const EngineFaults& faults) {
  if (faults.bad_json)
    return JsonResponse(200, "{\"id");
  json::object message = {{"role", "assistant"}, {"content", text}};
  json::object answer = {
      {"id", faults.wrong_id ? "other" : job.id},
      {"object", "chat.completion"},
      {"choices",
       json::array{json::object{
           {"index", 0}, {"message", message}, {"finish_reason", "stop"}}}}};
  if (!faults.no_usage)
    answer["usage"] = UsageOf(job, job.max_tokens);
  return JsonResponse(200, json::serialize(answer));
}

}  // namespace

class EngineStandIn::Private {
 public:
  Private(asio::io_context& context, std::string name, EngineSpeed speed)
      : context(context),
        name(std::move(name)),
        speed(speed),
        slots(speed.slots) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpExchange& exchange);
  asio::awaitable<void> Generate(const EngineJob& job, HttpExchange& exchange);
  asio::awaitable<void> Cancel(const HttpRequest& request,
                               HttpExchange& exchange);
  HttpResponse Stats() const;
  // Whether a fault ends the stream before token `n`.
  asio::awaitable<bool> Breaks(std::int64_t n, HttpExchange& exchange);
  asio::awaitable<void> Pause(std::chrono::microseconds time);

  asio::io_context& context;
  std::string name;
  EngineSpeed speed;
  EngineSlots slots;
  FaultSwitches faults;
  EngineFaults engine_faults;
  // Requests known here, with how far each was generated.
  std::map<std::string, EngineJob> jobs;
  std::map<std::string, std::int64_t> generated;
  std::set<std::string> cancelled;
  std::int64_t resumed_streams = 0;
  std::int64_t cancelled_streams = 0;
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

HttpResponse EngineStandIn::Private::Stats() const {
  json::object stats = {{"tokens", json::value_from(tokens_of_request)},
                        {"runs", json::value_from(runs_of_request)},
                        {"resumed", resumed_streams},
                        {"cancelled", cancelled_streams}};
  return JsonResponse(200, json::serialize(stats));
}

asio::awaitable<void> EngineStandIn::Private::Handle(const HttpRequest& request,
                                                     HttpExchange& exchange) {
  if (request.target == "/faults" && request.method == "PUT")
    engine_faults = EngineFaultsOf(request.body).value_or(engine_faults);
  if (co_await HandleFaultRequest(faults, request, exchange))
    co_return;
  HttpResponse response;
  if (request.target == "/stats") {
    response = Stats();
    co_await exchange.Send(response);
    co_return;
  }
  if (!co_await PassFaults(faults, request, exchange))
    co_return;
  if (request.target == "/healthz") {
    response = JsonResponse(200, "{\"healthy\":true}");
    co_await exchange.Send(response);
    co_return;
  }
  if (request.method == "DELETE" &&
      request.target.starts_with(kRequestPrefix)) {
    co_await Cancel(request, exchange);
    co_return;
  }
  std::optional<EngineJob> job = JobOf(request);
  if (!job) {
    response = JsonResponse(400, "{\"error\":\"bad request\"}");
    co_await exchange.Send(response);
    co_return;
  }
  ++runs_of_request[job->account];
  cancelled.erase(job->id);
  jobs[job->id] = *job;
  generated[job->id] = std::max(generated[job->id], job->first);
  if (job->first > 0)
    ++resumed_streams;
  co_await Generate(*job, exchange);
}

asio::awaitable<void> EngineStandIn::Private::Cancel(const HttpRequest& request,
                                                     HttpExchange& exchange) {
  const std::string id = request.target.substr(kRequestPrefix.size());
  HttpResponse response = JsonResponse(404, "{\"error\":\"no such request\"}");
  auto it = jobs.find(id);
  if (it != jobs.end()) {
    cancelled.insert(id);
    ++cancelled_streams;
    json::object answer = {{"id", id},
                           {"usage", UsageOf(it->second, generated[id])}};
    response = JsonResponse(200, json::serialize(answer));
  }
  co_await exchange.Send(response);
}

asio::awaitable<bool> EngineStandIn::Private::Breaks(std::int64_t n,
                                                     HttpExchange& exchange) {
  const bool breaks = n == engine_faults.break_after;
  const bool goes_silent = n == engine_faults.silent_after;
  if ((!breaks && !goes_silent) || engine_faults.times <= 0)
    co_return false;
  --engine_faults.times;
  if (goes_silent)
    co_await Pause(kSilence);
  exchange.Abort();
  co_return true;
}

asio::awaitable<void> EngineStandIn::Private::Generate(const EngineJob& job,
                                                       HttpExchange& exchange) {
  co_await slots.Enter();
  const EngineSlots::Holder holder(slots);
  co_await Pause(speed.first_token);
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  if (job.first > 0)
    headers.Add("X-Resumed-From", std::to_string(job.first));
  if (job.stream)
    exchange.StartStream(200, headers);
  std::string text;
  for (std::int64_t n = job.first; n < job.max_tokens; ++n) {
    if (n > job.first)
      co_await Pause(speed.between_tokens);
    if (co_await Breaks(n, exchange) || cancelled.contains(job.id)) {
      exchange.Abort();
      co_return;
    }
    ++tokens_of_request[job.account];
    generated[job.id] = std::max(generated[job.id], n + 1);
    if (!job.stream)
      text += TokenText(n);
    else if (!co_await exchange.Write(TokenEvent(job, n, engine_faults)))
      co_return;
  }
  tokens_of_request[job.account] += job.prompt_tokens;
  if (!job.stream) {
    HttpResponse response = WholeAnswer(job, text, engine_faults);
    co_await exchange.Send(response);
    co_return;
  }
  co_await exchange.Write(LastEvents(job, job.max_tokens, engine_faults));
  co_await exchange.EndStream();
}

}  // namespace turmericwinch
