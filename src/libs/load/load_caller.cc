#include "libs/load/load_caller.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/http/sse_parser.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr std::chrono::milliseconds kRetryPause{100};
constexpr int kStatusOk = 200;
constexpr char kNotRun[] = "not_run";
constexpr char kPrompt[] = "Which drawer holds the sheet of this survey?";

// How one attempt ended. `ran` is "not_run", "ran" or "unknown".
struct Attempt {
  bool answered = false;
  bool retry = true;
  std::string ran = "unknown";
  std::string result;
};

// The same chats in each run of a seed.
bool HasChatKey(const std::string& id, const LoadSettings& settings) {
  return static_cast<std::int64_t>(Hash64(id) % 100) <
         settings.chat_key_percent;
}

HttpRequest RequestOf(const PlannedCall& call, const LoadSettings& settings) {
  const CallKind kind = call.record.kind;
  HttpRequest request;
  request.headers.Add("Authorization", "Bearer " + call.profile->key);
  request.headers.Add("X-Request-Id", call.record.id);
  if (kind == CallKind::kRead) {
    request.target = call.profile->read_path;
    return request;
  }
  request.method = "POST";
  if (kind == CallKind::kWrite || HasChatKey(call.record.id, settings))
    request.headers.Add("Idempotency-Key", call.record.id);
  request.headers.Add("Content-Type", "application/json");
  if (kind == CallKind::kWrite) {
    request.target = call.profile->write_path;
    request.body = "{\"id\":\"" + call.record.id + "\"}";
    return request;
  }
  request.target = "/v1/chat/completions";
  json::object message = {{"role", "user"}, {"content", kPrompt}};
  request.body =
      json::serialize(json::object{{"model", call.profile->model},
                                   {"stream", kind == CallKind::kStreamedChat},
                                   {"max_tokens", settings.max_tokens},
                                   {"messages", json::array{message}}});
  return request;
}

// The refusal in `text`; an unreadable one leaves the outcome unknown.
Attempt RefusalOf(int status, std::string_view text) {
  Attempt attempt;
  attempt.result = std::to_string(status);
  attempt.retry =
      status == 408 || status == 409 || status == 429 || status >= 500;
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* error = top ? ObjectField(*top, "error") : nullptr;
  if (!error)
    return attempt;
  attempt.result = StringField(*error, "name").value_or("");
  attempt.ran = StringField(*error, "ran").value_or("unknown");
  attempt.retry = attempt.retry && attempt.result != "outcome_unknown";
  return attempt;
}

std::optional<std::int64_t> UsageOf(std::string_view text) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* usage = top ? ObjectField(*top, "usage") : nullptr;
  return usage ? IntField(*usage, "total_tokens") : std::nullopt;
}

// Reads the body of one answer.
class AnswerReader {
 public:
  AnswerReader(CallRecord& record, HttpStream& stream, HttpTimeouts timeouts)
      : record_(record), stream_(stream), timeouts_(timeouts) {}

  // The whole body; nothing if it broke off.
  asio::awaitable<std::optional<std::string>> Body(Clock::time_point started) {
    std::string body;
    HttpFailure failure;
    Clock::time_point last{};
    while (!stream_.done()) {
      std::optional<std::string> piece =
          co_await stream_.ReadSome(timeouts_.between_bytes, &failure);
      if (!piece)
        co_return std::nullopt;
      const Clock::time_point now = Clock::now();
      if (body.empty())
        record_.first_byte =
            std::chrono::duration_cast<microseconds>(now - started);
      else if (!piece->empty())
        record_.gaps.push_back(
            std::chrono::duration_cast<microseconds>(now - last));
      last = now;
      body += *piece;
    }
    co_return body;
  }

 private:
  CallRecord& record_;
  HttpStream& stream_;
  HttpTimeouts timeouts_;
};

// Whether `body` is the whole answer to a streamed chat; takes its usage over.
Attempt StreamedAnswer(CallRecord& record, const std::string& body) {
  SseParser parser;
  parser.Feed(body);
  Attempt attempt;
  attempt.result = "broken_stream";
  std::optional<std::int64_t> usage;
  while (std::optional<std::string> event = parser.Next()) {
    if (*event == "[DONE]")
      attempt.answered = usage.has_value();
    else if (std::optional<std::int64_t> found = UsageOf(*event))
      usage = found;
    else if (event->starts_with("{\"error\""))
      attempt = RefusalOf(kStatusOk, *event);
  }
  record.tokens = usage.value_or(0);
  attempt.retry = true;
  return attempt;
}

Attempt AnswerOf(CallRecord& record, int status, const std::string& body) {
  if (status != kStatusOk)
    return RefusalOf(status, body);
  if (record.kind == CallKind::kStreamedChat)
    return StreamedAnswer(record, body);
  Attempt attempt;
  attempt.answered = true;
  if (record.kind == CallKind::kWholeChat) {
    std::optional<std::int64_t> usage = UsageOf(body);
    attempt.answered = usage.has_value();
    record.tokens = usage.value_or(0);
  }
  return attempt;
}

asio::awaitable<Attempt> Try(HttpClient& client,
                             const LoadSettings& settings,
                             const asio::ip::tcp::endpoint& host,
                             const HttpRequest& request,
                             CallRecord& record) {
  HttpTimeouts timeouts;
  timeouts.first_byte = settings.give_up;
  timeouts.between_bytes = settings.give_up;
  HttpFailure failure;
  record.gaps.clear();
  const Clock::time_point started = Clock::now();
  std::unique_ptr<HttpStream> stream =
      co_await client.Open(host, request, timeouts, &failure);
  Attempt attempt;
  attempt.result = "no_answer";
  if (!stream) {
    if (!failure.may_have_arrived)
      attempt.ran = kNotRun;
    co_return attempt;
  }
  record.replayed = stream->headers().Has("Idempotent-Replayed");
  AnswerReader reader(record, *stream, timeouts);
  std::optional<std::string> body = co_await reader.Body(started);
  attempt.result = "broken_answer";
  if (body)
    attempt = AnswerOf(record, stream->status(), *body);
  co_return attempt;
}

}  // namespace

asio::awaitable<CallRecord> SendCall(HttpClient& client,
                                     const LoadSettings& settings,
                                     PlannedCall call,
                                     Clock::time_point run_start) {
  CallRecord& record = call.record;
  const HttpRequest request = RequestOf(call, settings);
  const Clock::time_point started = Clock::now();
  record.start = std::chrono::duration_cast<microseconds>(started - run_start);
  record.end = CallEnd::kNotRun;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (int n = 0; n < settings.attempts; ++n) {
    const asio::ip::tcp::endpoint host =
        settings.hosts[(call.first_host + n) % settings.hosts.size()];
    record.host = ToText(host);
    record.hosts.push_back(record.host);
    ++record.attempts;
    const Attempt attempt =
        co_await Try(client, settings, host, request, record);
    record.result = attempt.answered ? "ok" : attempt.result;
    if (attempt.answered)
      record.end = CallEnd::kAnswered;
    else if (attempt.ran != kNotRun)
      record.end = CallEnd::kUnknown;
    if (attempt.answered || !attempt.retry ||
        Clock::now() - started >= settings.give_up)
      break;
    timer.expires_after(kRetryPause * (n + 1));
    co_await timer.async_wait(asio::use_awaitable);
  }
  record.whole =
      std::chrono::duration_cast<microseconds>(Clock::now() - started);
  co_return std::move(record);
}

}  // namespace turmericwinch
