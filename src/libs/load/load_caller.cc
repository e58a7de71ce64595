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

// The result of one attempt. `ran` is "not_run", "ran" or "unknown".
struct AttemptResult {
  bool answered = false;
  bool retry = true;
  std::string ran = "unknown";
  std::string result;
};

// Whether a chat carries an Idempotency-Key. Derived from a hash of the id.
bool HasChatKey(const std::string& id, const LoadSettings& settings) {
  return static_cast<std::int64_t>(Hash64(id) % 100) <
         settings.chat_key_percent;
}

HttpRequest BuildRequest(const PlannedCall& call,
                         const LoadSettings& settings) {
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

// Parses the error in `text`. If it cannot be parsed, it is unknown whether the
// request ran.
AttemptResult ParseRefusal(int status, std::string_view text) {
  AttemptResult attempt;
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

std::optional<std::int64_t> ParseUsage(std::string_view text) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* usage = top ? ObjectField(*top, "usage") : nullptr;
  return usage ? IntField(*usage, "total_tokens") : std::nullopt;
}

// Reads the body of one answer and records the times of its pieces.
class AnswerReader {
 public:
  AnswerReader(CallRecord& record, HttpStream& stream, HttpTimeouts timeouts)
      : record_(record), stream_(stream), timeouts_(timeouts) {}

  // Returns the whole body, or nothing if the stream broke off.
  asio::awaitable<std::optional<std::string>> ReadBody(
      Clock::time_point started) {
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

// Parses the events of a streamed chat. The chat counts as answered if it ends
// with [DONE] and reports its usage, which goes into `record`.
AttemptResult ParseStreamedAnswer(CallRecord& record, const std::string& body) {
  SseParser parser;
  parser.Feed(body);
  AttemptResult attempt;
  attempt.result = "broken_stream";
  std::optional<std::int64_t> usage;
  while (std::optional<std::string> event = parser.Next()) {
    if (*event == "[DONE]")
      attempt.answered = usage.has_value();
    else if (std::optional<std::int64_t> found = ParseUsage(*event))
      usage = found;
    else if (event->starts_with("{\"error\""))
      attempt = ParseRefusal(kStatusOk, *event);
  }
  record.tokens = usage.value_or(0);
  attempt.retry = true;
  return attempt;
}

AttemptResult ParseAnswer(CallRecord& record,
                          int status,
                          const std::string& body) {
  if (status != kStatusOk)
    return ParseRefusal(status, body);
  if (record.kind == CallKind::kStreamedChat)
    return ParseStreamedAnswer(record, body);
  AttemptResult attempt;
  attempt.answered = true;
  if (record.kind == CallKind::kWholeChat) {
    std::optional<std::int64_t> usage = ParseUsage(body);
    attempt.answered = usage.has_value();
    record.tokens = usage.value_or(0);
  }
  return attempt;
}

asio::awaitable<AttemptResult> SendAttempt(HttpClient& client,
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
  AttemptResult attempt;
  attempt.result = "no_answer";
  if (!stream) {
    if (!failure.may_have_arrived)
      attempt.ran = kNotRun;
    co_return attempt;
  }
  record.replayed = stream->headers().Has("Idempotent-Replayed");
  AnswerReader reader(record, *stream, timeouts);
  std::optional<std::string> body = co_await reader.ReadBody(started);
  attempt.result = "broken_answer";
  if (body)
    attempt = ParseAnswer(record, stream->status(), *body);
  co_return attempt;
}

}  // namespace

asio::awaitable<CallRecord> SendCall(HttpClient& client,
                                     const LoadSettings& settings,
                                     PlannedCall call,
                                     Clock::time_point run_start) {
  CallRecord& record = call.record;
  const HttpRequest request = BuildRequest(call, settings);
  const Clock::time_point started = Clock::now();
  record.start = std::chrono::duration_cast<microseconds>(started - run_start);
  record.outcome = CallOutcome::kNotRun;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (int n = 0; n < settings.attempts; ++n) {
    const asio::ip::tcp::endpoint host =
        settings.hosts[(call.first_host + n) % settings.hosts.size()];
    record.host = ToText(host);
    record.hosts.push_back(record.host);
    ++record.attempts;
    const AttemptResult attempt =
        co_await SendAttempt(client, settings, host, request, record);
    record.result = attempt.answered ? "ok" : attempt.result;
    if (attempt.answered)
      record.outcome = CallOutcome::kAnswered;
    else if (attempt.ran != kNotRun)
      record.outcome = CallOutcome::kUnknown;
    if (attempt.answered || !attempt.retry ||
        Clock::now() - started >= settings.give_up)
      break;
    timer.expires_after(kRetryPause * (n + 1));
    co_await timer.async_wait(asio::use_awaitable);
  }
  record.total_time =
      std::chrono::duration_cast<microseconds>(Clock::now() - started);
  co_return std::move(record);
}

}  // namespace turmericwinch
