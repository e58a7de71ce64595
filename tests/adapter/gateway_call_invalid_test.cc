// Answers of targets that are no answers: parts of a body, and statuses that
// HTTP does not have.

#include <CppUTest/TestHarness.h>

#include "early_answer_target.h"
#include "gateway_call_fixture.h"
#include "raw_target.h"

namespace turmericwinch::platform {

namespace {

constexpr char kSignedFields[] =
    "Turmericwinch-Attempt-Id: id1\r\n"
    "Turmericwinch-Response-Signature: mac\r\n";

// Whether a part of the answer may reach the caller before it breaks.
bool IsStreamPath(const std::string& path) {
  return path == "/fixed/1";
}

std::string Answer(const std::string& status) {
  return "HTTP/1.1 " + status + " OK\r\n" + kSignedFields +
         "Content-Length: 5\r\n\r\nwhole";
}

}  // namespace

TEST_GROUP_BASE(GatewayCallInvalid, GatewayCallFixture){
    // Lists a target at `endpoint` beside the scripted ones.
    void ListBesideScripted(const boost::asio::ip::tcp::endpoint& endpoint){
        const std::string incarnation = std::to_string(++incarnation_);
HostList list;
list.targets = {
    {"i-1", "a", ToText(one.endpoint), incarnation, "app", false},
    {"i-3", "a", ToText(endpoint), incarnation, "app", false},
};
context.targets.Update(list, *context.config.Get()->objects);
}  // namespace turmericwinch::platform
}
;

// A target answers a long upload at once, sends a part of its body and resets
// the connection while the gateway still sends the upload.
TEST(GatewayCallInvalid, APartSentDuringAnUploadIsNeverAWholeAnswer) {
  const std::string part = EventText(1) + EventText(2);
  const std::string chunk = "1e\r\n" + part + "\r\n";
  struct Framing {
    const char* version;
    std::string fields;
    std::string body;
  };
  const Framing framings[] = {
      {"HTTP/1.1", "", part},
      {"HTTP/1.0", "", part},
      {"HTTP/1.1", "Connection: close\r\n", part},
      {"HTTP/1.1", "Connection: keep-alive\r\n", part},
      {"HTTP/1.1", "Transfer-Encoding: identity\r\n", part},
      {"HTTP/1.1", "Transfer-Encoding: chunked, gzip\r\n", part},
      {"HTTP/1.1", "Content-Length: 1000\r\n", part},
      {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", chunk},
  };
  const std::size_t uploads[] = {8, 64 * 1024, 3 * 1024 * 1024};
  for (const Framing& it : framings) {
    for (const std::size_t bytes : uploads) {
      for (const EarlyEnd end : {EarlyEnd::kReset, EarlyEnd::kCloseUnread,
                                 EarlyEnd::kShutdownThenReset}) {
        for (const char* path : {"/once/1", "/again/1", "/fixed/1"}) {
          EarlyAnswerTarget target(context.traffic,
                                   std::string(it.version) + " 200 OK\r\n" +
                                       kSignedFields + it.fields + "\r\n" +
                                       it.body,
                                   end);
          ListOnly(target.endpoint());
          HttpRequest request = Request(path);
          request.body = std::string(bytes, 'x');
          const auto response = Call(request);
          const std::string text = it.fields + path + " upload " +
                                   std::to_string(bytes) + " end " +
                                   std::to_string(static_cast<int>(end));
          const bool is_broken_stream = IsStreamPath(path) && !response;
          CHECK_TEXT(is_broken_stream || (response && response->status == 502),
                     text.c_str());
        }
      }
    }
  }
}

// A target answers with a status that is none. It may have run the request, so
// the caller must not be told that it did not.
TEST(GatewayCallInvalid, AStatusOutsideHttpIsNeverPassedOn) {
  for (const char* status :
       {"000", "0", "99", "099", "100", "101", "199", "600", "999", "1000",
        "2000", "abc", "2x0", "-200", ""}) {
    for (const std::string& extra :
         {std::string(), std::string("Turmericwinch-Not-Executed: 1\r\n")}) {
      for (const char* path : {"/once/1", "/fixed/1"}) {
        std::string answer = Answer(status);
        answer.insert(answer.find("Content-Length"), extra);
        RawTarget target(context.traffic, answer, ConnectionEnd::kClose);
        ListOnly(target.endpoint());
        const std::string text = std::string(status) + path + extra;
        LONGS_EQUAL_TEXT(502, StatusOf(path), text.c_str());
      }
    }
  }
}

// The lowest and highest statuses of HTTP are passed on.
TEST(GatewayCallInvalid, AnUnusualStatusOfHttpIsPassedOn) {
  for (const char* status : {"200", "299", "404", "499", "599"}) {
    RawTarget target(context.traffic, Answer(status), ConnectionEnd::kClose);
    ListOnly(target.endpoint());
    LONGS_EQUAL(std::stoi(status), StatusOf("/once/1"));
  }
}

// A call that may run twice goes to another target instead.
TEST(GatewayCallInvalid, ARepeatableCallIsRetriedAfterAnInvalidStatus) {
  for (const char* status : {"000", "99", "099", "600", "1000", "abc"}) {
    RawTarget target(context.traffic, Answer(status), ConnectionEnd::kClose);
    constexpr int kMaxCalls = 20;
    for (int n = 0; n < kMaxCalls && target.requests() == 0; ++n) {
      ListBesideScripted(target.endpoint());
      const auto response = Call(Request("/again/1"));
      CHECK_TEXT(response && response->status == 200, status);
      STRCMP_EQUAL("whole", response->body.c_str());
    }
    CHECK_TEXT(target.requests() > 0, status);
  }
}

}  // namespace turmericwinch::platform
