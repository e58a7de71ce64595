// Answers of targets that end early, late or never.

#include <CppUTest/TestHarness.h>

#include "endless_target.h"
#include "gateway_call_fixture.h"
#include "raw_target.h"
#include "support/run_until.h"

namespace turmericwinch::platform {

TEST_GROUP_BASE(GatewayCallFraming, GatewayCallFixture){};

// A target stops within the head of its answer, or within the body that the
// head announces.
TEST(GatewayCallFraming, AnAnswerThatEndsEarlyIsNeverRelayedAsASuccess) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
      "Turmericwinch-Response-Signature: mac\r\n";
  const std::string answers[] = {
      head + "Content-Length: 5\r\n\r\nwhole",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"};
  for (const std::string& answer : answers) {
    for (const char* path : {"/once/1", "/fixed/1"}) {
      for (std::size_t n = 0; n < answer.size(); ++n) {
        RawTarget target(
            context.traffic, answer.substr(0, n),
            n % 2 == 0 ? ConnectionEnd::kClose : ConnectionEnd::kReset);
        ListOnly(target.endpoint());
        const auto response = Call(Request(path));
        CHECK(!response || response->status == 502);
      }
    }
  }
}

// Without a length and chunks, the end of the connection ends the answer. Until
// the head has ended, it is no answer.
TEST(GatewayCallFraming, AnAnswerWithoutALengthNeedsItsWholeHead) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
      "Turmericwinch-Response-Signature: mac\r\n\r\n";
  for (std::size_t n = 0; n <= head.size(); ++n) {
    RawTarget target(context.traffic,
                     n < head.size() ? head.substr(0, n) : head + "whole",
                     ConnectionEnd::kClose);
    ListOnly(target.endpoint());
    const auto response = Call(Request("/once/1"));
    CHECK(response.has_value());
    LONGS_EQUAL(n < head.size() ? 502 : 200, response->status);
    if (n == head.size())
      STRCMP_EQUAL("whole", response->body.c_str());
  }
}

// Bytes that are no answer may come without end until the caller closes.
TEST(GatewayCallFraming, BytesWithoutEndFromATargetAreReadOnlyToALimit) {
  const std::string ok =
      "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
      "Turmericwinch-Response-Signature: mac\r\n";
  const std::string other =
      "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: other\r\n";
  const std::string not_run =
      "HTTP/1.1 503 Busy\r\nTurmericwinch-Attempt-Id: id1\r\n"
      "Turmericwinch-Not-Executed: 1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  struct Case {
    const char* path;
    std::string start;
    std::string piece;
    int status;
  };
  const Case cases[] = {
      {"/once/1", "", "garbage", 502},
      {"/once/1", "HTTP/1.1 200 OK\r\nName: ", "value", 502},
      {"/once/1", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", 502},
      {"/once/1", ok + "\r\n", "body", 502},
      {"/once/1", ok + chunked, chunk, 502},
      {"/once/1", ok + chunked + "10;", "extension", 502},
      {"/once/1", ok + chunked + "0\r\n", "Trailer: value\r\n", 502},
      {"/once/1", other + chunked, chunk, 502},
      {"/once/1", "", other + "Content-Length: 0\r\n\r\n", 502},
      {"/once/1", "", "HTTP/1.1 100 Continue\r\n\r\n", 502},
      {"/once/1", not_run + chunked, chunk, 503},
      {"/once/1", not_run + "\r\n", "body", 503},
      {"/fixed/1", ok + chunked, chunk, 502},
      {"/fixed/1", ok + "\r\n", "data: no end of the event\n", 502},
      {"/fixed/1", ok + "\r\n", ":\n", 502},
  };
  // Twice the limit of a body, and what two socket buffers hold.
  constexpr std::size_t kMaxSentBytes = 16 * 1024 * 1024;
  for (const Case& it : cases) {
    EndlessTarget target(context.traffic, it.start, it.piece);
    ListOnly(target.endpoint());
    LONGS_EQUAL_TEXT(it.status, StatusOf(it.path), it.start.c_str());
    CHECK_TEXT(target.sent_bytes() <= kMaxSentBytes, it.start.c_str());
  }
}

// A refusal whose body goes on slowly must not hold the request.
TEST(GatewayCallFraming, ARefusalThatDoesNotEndIsPassedOn) {
  RawTarget target(context.traffic,
                   "HTTP/1.1 503 Busy\r\nTurmericwinch-Attempt-Id: id1\r\n"
                   "Turmericwinch-Not-Executed: 1\r\n"
                   "Content-Length: 60000\r\n\r\n",
                   ConnectionEnd::kTrickle);
  ListOnly(target.endpoint());
  LONGS_EQUAL(503, StatusOf("/once/1"));
}

// Many callers ask a target whose answers have no end.
TEST(GatewayCallFraming, UnfinishedAnswersToManyCallersDoNotUseUpTheMemory) {
  constexpr int kCallers = 12;
  constexpr std::size_t kBytes = 3 * 1024 * 1024;
  constexpr int kMostThatFit = kMaxResponseMemory / kBytes;
  RawTarget target(context.traffic,
                   "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
                   "Turmericwinch-Response-Signature: mac\r\n\r\n" +
                       std::string(kBytes, 'x'),
                   ConnectionEnd::kStall);
  ListOnly(target.endpoint());
  HttpRequest request = Request("/once/1");
  request.headers.Add("Turmericwinch-Deadline-Ms", "3000");
  int refused = 0;
  int ended = 0;
  const HttpCallOptions options;
  for (int n = 0; n < kCallers; ++n) {
    boost::asio::co_spawn(
        context.traffic,
        [&]() -> boost::asio::awaitable<void> {
          const std::optional<HttpResponse> response =
              co_await caller.Call(address, request, options, &failure);
          refused += response && response->status == 502 ? 1 : 0;
          ++ended;
        },
        boost::asio::detached);
  }
  RunUntil(context.traffic, [&] { return ended == kCallers; });
  CHECK(refused >= kCallers - kMostThatFit);
  LONGS_EQUAL(0, context.response_memory.used());
}

// An answer with neither a length nor chunks ends with its connection.
TEST(GatewayCallFraming,
     AnAnswerWithoutFramingIsWholeOnlyIfItsConnectionIsClosed) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
      "Turmericwinch-Response-Signature: mac\r\n\r\n";
  struct Case {
    const char* path;
    std::string body;
    ConnectionEnd end;
    bool is_whole;
  };
  const std::string events = EventText(1) + EventText(2);
  const Case cases[] = {
      {"/once/1", "whole", ConnectionEnd::kClose, true},
      {"/once/1", "", ConnectionEnd::kClose, true},
      {"/once/1", "part", ConnectionEnd::kReset, false},
      {"/fixed/1", events, ConnectionEnd::kClose, true},
      {"/fixed/1", events + "id: 3\nda", ConnectionEnd::kClose, false},
      {"/fixed/1", events + "id: 3\ndata: x\n", ConnectionEnd::kClose, false},
      {"/fixed/1", events, ConnectionEnd::kReset, false},
      {"/stream/1", events, ConnectionEnd::kClose, true},
  };
  for (const Case& it : cases) {
    RawTarget target(context.traffic, head + it.body, it.end);
    ListOnly(target.endpoint());
    const auto response = Call(Request(it.path));
    const bool is_whole = response && response->status == 200;
    CHECK_TEXT(it.is_whole == is_whole, (it.path + it.body).c_str());
    if (is_whole)
      STRCMP_EQUAL(it.body.c_str(), response->body.c_str());
  }
}

// The events of a stream are relayed once; repeated ones do not keep the
// connection to the target open.
TEST(GatewayCallFraming, EventsRepeatedWithoutEndBreakTheStream) {
  EndlessTarget target(context.traffic,
                       "HTTP/1.1 200 OK\r\nTurmericwinch-Attempt-Id: id1\r\n"
                       "Turmericwinch-Response-Signature: mac\r\n\r\n",
                       EventText(1));
  ListOnly(target.endpoint());
  CHECK(!Call(Request("/fixed/1")).has_value());
  CHECK(target.sent_bytes() < EndlessTarget::kMaxSentBytes);
}

}  // namespace turmericwinch::platform
