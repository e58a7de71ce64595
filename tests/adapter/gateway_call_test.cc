#include "libs/gateway/gateway_call_runner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <string>

#include "gateway_call_fixture.h"
#include "repeating_target.h"

namespace turmericwinch::platform {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

struct PromptPartFixture : GatewayCallFixture {
  // Lets requests with the part crash targets. Checks that the next one is
  // refused and reaches none, and that its other parts are served.
  void CheckPartIsQuarantined(const std::string& part) {
    constexpr int kCrashes = 5;
    const std::string deadly = "a1:9,b2:9," + part + ":9";
    for (int n = 0; n < kCrashes; ++n) {
      StatusOfPrompt(deadly);
      ListCrash();
    }
    // Runs until the crashes are evaluated.
    while (context.quarantine.quarantined_parts() == 0 &&
           context.control.run_one() > 0) {
    }
    const std::size_t before = ReceivedRequests();
    LONGS_EQUAL(503, StatusOfPrompt(deadly));
    LONGS_EQUAL(before, ReceivedRequests());
    script = {TargetBehavior::kStream};
    LONGS_EQUAL(200, StatusOfPrompt("a1:9,b2:9"));
  }
};

}  // namespace

TEST_GROUP_BASE(GatewayCall, PromptPartFixture){};

// Checks the response and the number of targets that got the request, for each
// behavior of the first targets.
TEST(GatewayCall, ARequestThatMustNotRunTwiceIsNotRepeated) {
  struct Case {
    const char* path;
    std::vector<TargetBehavior> script;
    int status;
    std::size_t received;
  };
  const Case cases[] = {
      {"/once/1", {}, 200, 1},
      {"/once/1", {TargetBehavior::kFail}, 500, 1},
      {"/once/1", {TargetBehavior::kClose}, 502, 1},
      {"/once/1", {TargetBehavior::kUnsigned}, 502, 1},
      {"/once/1", {TargetBehavior::kNotRun}, 200, 2},
      {"/once/1", {TargetBehavior::kOtherTarget}, 200, 2},
      {"/once/1", {TargetBehavior::kNotRun, TargetBehavior::kNotRun}, 503, 2},
      {"/once/1", {TargetBehavior::kNotRun, TargetBehavior::kClose}, 502, 2},
      {"/again/1", {TargetBehavior::kClose}, 200, 2},
      {"/again/1", {TargetBehavior::kFail}, 200, 2},
      {"/again/1", {TargetBehavior::kFail, TargetBehavior::kFail}, 500, 2},
      {"/again/1", {TargetBehavior::kFail, TargetBehavior::kClose}, 500, 2},
      {"/again/1", {TargetBehavior::kFail, TargetBehavior::kNotRun}, 500, 2},
      {"/again/1", {TargetBehavior::kClose, TargetBehavior::kClose}, 502, 2},
      {"/again/1", {TargetBehavior::kClose, TargetBehavior::kNotRun}, 502, 2},
      {"/fixed/1", {TargetBehavior::kClose}, 502, 1},
      {"/stream/1", {TargetBehavior::kClose, TargetBehavior::kStream}, 200, 2},
      {"/none/1", {}, 404, 0},
  };
  for (const Case& it : cases) {
    script = it.script;
    RestartTargets(*context.config.Get());
    const std::size_t before = ReceivedRequests();
    LONGS_EQUAL(it.status, StatusOf(it.path));
    LONGS_EQUAL(it.received, ReceivedRequests() - before);
  }
}

TEST(GatewayCall, AResumableStreamContinuesAtAnotherTargetWithoutAGap) {
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  const auto response = Call(Request("/stream/1"));
  CHECK(response.has_value());
  std::string expected;
  for (int n = 1; n <= 5; ++n)
    expected += EventText(n);
  STRCMP_EQUAL(expected.c_str(), response->body.c_str());
  LONGS_EQUAL(1, one.requests.size());
  LONGS_EQUAL(1, two.requests.size());
}

// Guards against the id 0 that counts as no id: the next target was sent no
// Last-Event-Id, and its event 0 was relayed again.
TEST(GatewayCall, AStreamThatBeginsAtEventZeroIsResumedAfterIt) {
  one.event_ids = two.event_ids = {"0", "1", "2", "3", "4"};
  one.events_before_cut = two.events_before_cut = 1;
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  const auto response = Call(Request("/stream/1"));
  CHECK(response.has_value());
  std::string expected;
  for (int n = 0; n < 5; ++n)
    expected += EventText(n);
  STRCMP_EQUAL(expected.c_str(), response->body.c_str());
}

TEST(GatewayCall, ACallerThatHasEventZeroGetsTheEventsAfterIt) {
  one.event_ids = two.event_ids = {"0", "1", "2", "3", "4"};
  script = {TargetBehavior::kStream};
  HttpRequest request = Request("/stream/1");
  request.headers.Add("Last-Event-Id", "0");
  const auto response = Call(request);
  CHECK(response.has_value());
  std::string expected;
  for (int n = 1; n < 5; ++n)
    expected += EventText(n);
  STRCMP_EQUAL(expected.c_str(), response->body.c_str());
}

// The next target cannot be told which events the caller has.
TEST(GatewayCall, AStreamOfEventsWithoutIdsIsNotResumed) {
  one.has_event_ids = two.has_event_ids = false;
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  CHECK(!Call(Request("/stream/1")).has_value());
  LONGS_EQUAL(1, ReceivedRequests());
}

// Guards against a load header that is parsed but reaches no target, and
// against invalid ones that nobody sees.
TEST(GatewayCall, TheReportedLoadReachesTheTargetAndInvalidOnesAreCounted) {
  auto speed = [this] {
    double largest = 0;
    for (const TargetStats& it : context.targets.Stats())
      largest = std::max(largest, it.speed_factor);
    return largest;
  };
  auto count = [this](int n) {
    const std::string line =
        "turmericwinch_invalid_load_headers_total " + std::to_string(n) + "\n";
    return context.metrics.Exposition().find(line) != std::string::npos;
  };
  one.load = two.load = "1,0,8,0";
  LONGS_EQUAL(200, StatusOf("/once/1"));
  CHECK(count(1));
  DOUBLES_EQUAL(1, speed(), 1e-9);
  one.load = two.load = "1,0,8,100000";
  LONGS_EQUAL(200, StatusOf("/once/1"));
  CHECK(count(1));
  CHECK(speed() > 1);
  one.load = two.load = "1,0";
  LONGS_EQUAL(200, StatusOf("/once/1"));
  CHECK(count(2));
}

TEST(GatewayCall, AnErrorOfTheNextTargetIsNotSentInsideAStream) {
  for (TargetBehavior behavior :
       {TargetBehavior::kReject, TargetBehavior::kFail, TargetBehavior::kNotRun,
        TargetBehavior::kOtherTarget, TargetBehavior::kUnsigned,
        TargetBehavior::kAnswer}) {
    script = {TargetBehavior::kCutStream, behavior};
    RestartTargets(*context.config.Get());
    CHECK(!Call(Request("/stream/1")).has_value());
    // The caller's client would find the head of an error here.
    CHECK(failure.text.find("bad chunk") == std::string::npos);
  }
}

TEST(GatewayCall, ARepeatedRefusalIsNotTakenForTheResponseToTheNextRequest) {
  RepeatingTarget target(context.traffic);
  HostList list;
  list.targets = {{"i-9", "a", ToText(target.endpoint()), "1", "app", false}};
  context.targets.Update(list, *context.config.Get()->objects);
  LONGS_EQUAL(503, StatusOf("/once/1"));
  // The target counts as failing for a moment after its refusal.
  context.targets.Update(HostList(), *context.config.Get()->objects);
  list.targets[0].incarnation = "2";
  context.targets.Update(list, *context.config.Get()->objects);
  HttpRequest second = Request("/once/1");
  second.headers = {};
  second.headers.Add("Host", "h");
  second.headers.Add("Turmericwinch-Attempt-Id", "id2");
  second.headers.Add("Authorization", "Token key");
  const auto response = Call(second);
  CHECK(response.has_value());
  LONGS_EQUAL(200, response->status);
  LONGS_EQUAL(2, target.requests());
}

// A faulty target repeats an earlier refusal.
TEST(GatewayCall, ARefusalThatNamesNoRequestDoesNotProveThatItDidNotRun) {
  script = {TargetBehavior::kNotRunWithoutId};
  LONGS_EQUAL(502, StatusOf("/once/1"));
  LONGS_EQUAL(1, ReceivedRequests());
}

TEST(GatewayCall, ATargetThatSaysThatItLeavesGetsNoNewRequest) {
  one.says_leaving = two.says_leaving = true;
  LONGS_EQUAL(200, StatusOf("/again/1"));
  LONGS_EQUAL(200, StatusOf("/again/1"));
  LONGS_EQUAL(1, one.requests.size());
  LONGS_EQUAL(1, two.requests.size());
}

TEST(GatewayCall, ATargetThatAsksForAPauseGetsNoRequestMeanwhile) {
  one.retry_after = two.retry_after = "25";
  script = {TargetBehavior::kNotRun, TargetBehavior::kNotRun};
  LONGS_EQUAL(503, StatusOf("/again/1"));
  Reason reason;
  CHECK(!context.targets.BeginAttempt({"app"}, {}, &reason).has_value());
}

TEST(GatewayCall, ABrokenStreamThatIsNotResumableDoesNotLookComplete) {
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  CHECK(!Call(Request("/fixed/1")).has_value());
  LONGS_EQUAL(1, ReceivedRequests());
}

TEST(GatewayCall, APromptPartThatCrashedTargetsReachesNoMoreTargets) {
  CheckPartIsQuarantined(kDeadlyPart);
}

// The first events of an answer do not show that its prompt is sound.
TEST(GatewayCall, APromptPartThatCrashesTargetsLateReachesNoMoreTargets) {
  CheckPartIsQuarantined(kLateDeadlyPart);
}

TEST(GatewayCall, AResponseToAnotherRequestIsNotRelayed) {
  script = {TargetBehavior::kOtherAttemptId};
  HttpRequest request = Request("/again/1");
  request.headers.Add("Turmericwinch-Deadline-Ms", "300");
  const auto response = Call(request);
  CHECK(response->status != 200);
}

TEST(GatewayCall, KeyAndConfigurationAreCheckedBeforeARequestIsSent) {
  HttpRequest request = Request("/once/1");
  request.headers = HttpHeaders();
  request.headers.Add("Host", "h");
  request.headers.Add("Turmericwinch-Attempt-Id", "id1");
  LONGS_EQUAL(401, Call(request)->status);
  context.config.Set(nullptr);
  const auto response = Call(Request("/once/1"));
  LONGS_EQUAL(503, response->status);
  CHECK(response->headers.Has("Retry-After"));
  LONGS_EQUAL(0, ReceivedRequests());
}

TEST(GatewayCall, TokensAreChargedOnlyForRequestsThatMayHaveRun) {
  HttpRequest request = Request("/stream/1");
  request.headers.Add("Turmericwinch-Token-Count", "100,50");
  script = {TargetBehavior::kNotRun, TargetBehavior::kNotRun};
  LONGS_EQUAL(503, Call(request)->status);
  LONGS_EQUAL(500, Available());
  script = {TargetBehavior::kStream};
  LONGS_EQUAL(200, Call(request)->status);
  LONGS_EQUAL(500 - 100 - 5, Available());
  script = {TargetBehavior::kClose, TargetBehavior::kClose};
  LONGS_EQUAL(502, Call(request)->status);
  LONGS_EQUAL(395 - 100, Available());
}

TEST(GatewayCall, WithoutTokensARequestIsRefusedWithRetryAfter) {
  context.ledger.SetReachable(false);
  HttpRequest request = Request("/stream/1");
  request.headers.Add("Turmericwinch-Token-Count", "490,50");
  const auto response = Call(request);
  LONGS_EQUAL(503, response->status);
  CHECK(response->headers.Has("Retry-After"));
  LONGS_EQUAL(0, ReceivedRequests());
}

TEST(GatewayCall, AClosedCallerConnectionEndsTheCallToTheTarget) {
  asio::ip::tcp::acceptor silent(context.traffic,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  Reason reason;
  auto config = DecodeConfig(kGatewayCallConfig, {{"a"}}, &reason);
  HostList list;
  list.targets = {
      {"i-3", "a", ToText(silent.local_endpoint()), "1", "app", false}};
  context.targets.Update(list, *config->objects);
  const bool ended =
      RunCoroutine(context.traffic, [&]() -> asio::awaitable<bool> {
        asio::ip::tcp::socket socket(context.traffic);
        co_await socket.async_connect(address, asio::use_awaitable);
        const std::string text =
            "GET /once/1 HTTP/1.1\r\nHost: h\r\nTurmericwinch-Attempt-Id: x\r\n"
            "Authorization: Token key\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::use_awaitable);
        asio::ip::tcp::socket target =
            co_await silent.async_accept(asio::use_awaitable);
        char buf[4096];
        co_await target.async_read_some(asio::buffer(buf), asio::use_awaitable);
        socket.close();
        // Reads until the gateway closes its connection to the target.
        for (;;) {
          auto [ec, n] = co_await target.async_read_some(
              asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
          if (ec)
            co_return true;
        }
      }());
  CHECK(ended);
}

// A request that comes late in a planned stop might be cut off with its target
// at work on it.
TEST(GatewayCall, AHostThatIsAboutToStopRefusesNewRequestsAsNotRun) {
  context.refuses_requests = true;
  for (const char* path : {"/once/1", "/again/1", "/stream/1"}) {
    const auto response = Call(Request(path));
    CHECK(response.has_value());
    LONGS_EQUAL(503, response->status);
    CHECK(response->headers.Has("Retry-After"));
  }
  LONGS_EQUAL(0, ReceivedRequests());
}

// A busy host reads a request only after its caller has given up.
TEST(GatewayCall, ARequestWhoseCallerHasLeftReachesNoTarget) {
  for (const char* method : {"GET /again/1", "POST /once/1"}) {
    asio::io_context other;
    asio::ip::tcp::socket socket(other);
    socket.connect(address);
    const std::string text =
        std::string(method) +
        " HTTP/1.1\r\nHost: h\r\nTurmericwinch-Attempt-Id: x\r\n"
        "Authorization: Token key\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(text));
    socket.close();
    const std::size_t before = ReceivedRequests();
    LONGS_EQUAL(200, StatusOf("/again/1"));
    LONGS_EQUAL(before + 1, ReceivedRequests());
  }
}

TEST(GatewayCall, ATargetGetsNoMoreRequestsThanTheRateLimitThatItNamed) {
  // The bound of the users' platform: one and a half times the limit, and 5.
  constexpr std::size_t kMaxAfterLimit = 5;
  constexpr int kRequests = 40;
  one.names_limit = true;
  // The retry of the first request goes to the other target.
  script = {TargetBehavior::kFail};
  LONGS_EQUAL(200, StatusOf("/again/1"));
  const std::size_t before = one.requests.size();
  LONGS_EQUAL(1, before);
  for (int n = 0; n < kRequests; ++n)
    LONGS_EQUAL(200, StatusOf("/again/1"));
  CHECK(one.requests.size() - before <= kMaxAfterLimit);
  CHECK(two.requests.size() >= kRequests - kMaxAfterLimit);
  // Retries keep to the limit, too.
  script.assign(kRequests, TargetBehavior::kFail);
  for (int n = 0; n < kRequests; ++n)
    StatusOf("/again/1");
  CHECK(one.requests.size() - before <= kMaxAfterLimit);
}

TEST(GatewayCall, ARateLimitOfAnotherTargetAtTheAddressIsIgnored) {
  one.names_limit = true;
  two.names_limit = true;
  script = {TargetBehavior::kOtherTarget, TargetBehavior::kUnsigned};
  StatusOf("/once/1");
  LONGS_EQUAL(2, ReceivedRequests());
  for (const TargetStats& it : context.targets.Stats())
    DOUBLES_EQUAL(0, it.rate_limit, 0);
}

TEST(GatewayCall, ARequestThatNoRateLimitAllowsIsRefusedAtOnce) {
  one.names_limit = true;
  two.names_limit = true;
  int status = 0;
  for (int n = 0; n < 40; ++n)
    status = StatusOf("/again/1");
  LONGS_EQUAL(503, status);
  HttpRequest request = Request("/again/1");
  CHECK(Call(request)->headers.Has("Retry-After"));
}

}  // namespace turmericwinch::platform
