// A target that follows a script.

#ifndef TESTS_ADAPTER_SCRIPTED_TARGET_H_
#define TESTS_ADAPTER_SCRIPTED_TARGET_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "libs/http/http_server.h"

namespace turmericwinch::platform {

// What a scripted target does with a request.
enum class TargetBehavior {
  kAnswer,
  kFail,
  kClose,
  kNotRun,
  kOtherTarget,
  kUnsigned,
  // Fails the request with status 400.
  kReject,
  // A refusal that does not say to which request it belongs.
  kNotRunWithoutId,
  kOtherAttemptId,
  kStream,
  // Sends `events_before_cut` events and half of the next, then closes the
  // connection.
  kCutStream,
  // Sends kEventsBeforeCrash events, then closes the connection.
  kCrashInStream,
};

// Requests per second that a scripted target with a limit names. So few that a
// test never lasts until the next one.
inline constexpr char kNamedRateLimit[] = "0.0001";

// Ids of prompt parts on which a scripted target crashes: before its answer,
// and after kEventsBeforeCrash events of a stream.
inline constexpr char kDeadlyPart[] = "dead";
inline constexpr char kLateDeadlyPart[] = "1a7e";
inline constexpr int kEventsBeforeCrash = 4;

inline constexpr char kEventWithoutId[] = "data: x\n\n";

using EventIds = std::vector<std::string>;

inline std::string EventText(const std::string& id) {
  return "id: " + id + "\ndata: x\n\n";
}
inline std::string EventText(int id) {
  return EventText(std::to_string(id));
}

// A target that handles each request by the next step of a script, and answers
// it once the script has ended.
class ScriptedTarget {
 public:
  ScriptedTarget(boost::asio::io_context& context,
                 std::vector<TargetBehavior>& script)
      : script_(script),
        server_({&context},
                {kHttpMostBodyBytes, 16},
                [this](const HttpRequest& request, HttpExchange& exchange) {
                  return Handle(request, exchange);
                }),
        endpoint(
            *server_.Listen({boost::asio::ip::make_address("127.0.0.1"), 0},
                            nullptr)) {}

  std::vector<HttpRequest> requests;
  // Ids of the events of its streams.
  EventIds event_ids = {"1", "2", "3", "4", "5"};
  bool has_event_ids = true;
  // Begins each stream anew, whatever the caller has.
  bool ignores_last_event = false;
  // Events that it leaves out when it continues a stream.
  int events_skipped = 0;
  // Events after which a whole stream ends.
  std::size_t event_limit = 100;
  std::size_t events_before_cut = 2;
  bool names_limit = false;
  bool says_leaving = false;
  // Load header of its responses; empty for none.
  std::string load;
  // Seconds that its refusals name; empty for none.
  std::string retry_after;

 private:
  // At most `limit` events after the one that the request names.
  EventIds EventsFor(const HttpRequest& request, std::size_t limit) const {
    const std::string after(request.headers.Get("Last-Event-Id"));
    auto first = event_ids.begin();
    if (!after.empty() && !ignores_last_event) {
      first = std::find(event_ids.begin(), event_ids.end(), after);
      const auto left = event_ids.end() - first;
      first += std::min<std::ptrdiff_t>(left, 1 + events_skipped);
    }
    EventIds events(first, event_ids.end());
    events.resize(std::min(events.size(), limit));
    return events;
  }

  boost::asio::awaitable<void> Handle(const HttpRequest& request,
                                      HttpExchange& exchange) {
    requests.push_back(request);
    TargetBehavior behavior = TargetBehavior::kAnswer;
    if (!script_.empty()) {
      behavior = script_.front();
      script_.erase(script_.begin());
    }
    const std::string_view parts =
        request.headers.Get("Turmericwinch-Prefix-Hash");
    if (parts.find(kDeadlyPart) != std::string_view::npos)
      behavior = TargetBehavior::kClose;
    if (parts.find(kLateDeadlyPart) != std::string_view::npos)
      behavior = TargetBehavior::kCrashInStream;
    HttpResponse response;
    if (behavior != TargetBehavior::kNotRunWithoutId) {
      response.headers.Add(
          "Turmericwinch-Attempt-Id",
          behavior == TargetBehavior::kOtherAttemptId
              ? "another"
              : std::string(request.headers.Get("Turmericwinch-Attempt-Id")));
    }
    if (behavior != TargetBehavior::kUnsigned)
      response.headers.Add("Turmericwinch-Response-Signature", "mac");
    if (names_limit)
      response.headers.Add("Server-Limit", kNamedRateLimit);
    if (!load.empty())
      response.headers.Add("Turmericwinch-Server-Load", load);
    if (says_leaving)
      response.headers.Add("Server-Leaving", "1");
    if (!retry_after.empty())
      response.headers.Add("Retry-After", retry_after);
    response.body = "whole";
    switch (behavior) {
      case TargetBehavior::kClose:
        exchange.Abort();
        co_return;
      case TargetBehavior::kFail:
        response.status = 500;
        break;
      case TargetBehavior::kReject:
        response.status = 400;
        break;
      case TargetBehavior::kNotRun:
      case TargetBehavior::kNotRunWithoutId:
        response.status = 503;
        response.headers.Add("Turmericwinch-Not-Executed", "1");
        break;
      case TargetBehavior::kCrashInStream:
        exchange.StartStream(200, response.headers);
        for (int n = 1; n <= kEventsBeforeCrash; ++n)
          co_await exchange.Write(EventText(n));
        exchange.Abort();
        co_return;
      case TargetBehavior::kOtherTarget:
        response.status = 421;
        break;
      case TargetBehavior::kStream:
      case TargetBehavior::kCutStream: {
        const bool is_cut = behavior == TargetBehavior::kCutStream;
        const EventIds events =
            EventsFor(request, is_cut ? events_before_cut : event_limit);
        exchange.StartStream(200, response.headers);
        for (const std::string& it : events) {
          const std::string event =
              has_event_ids ? EventText(it) : std::string(kEventWithoutId);
          co_await exchange.Write(event);
        }
        if (behavior == TargetBehavior::kStream) {
          co_await exchange.EndStream();
        } else {
          co_await exchange.Write("id: 9\nda");
          exchange.Abort();
        }
        co_return;
      }
      default:
        break;
    }
    co_await exchange.Send(response);
  }

  std::vector<TargetBehavior>& script_;
  HttpServer server_;

 public:
  boost::asio::ip::tcp::endpoint endpoint;
};

}  // namespace turmericwinch::platform

#endif  // TESTS_ADAPTER_SCRIPTED_TARGET_H_
