// What the rest of the program may rely on of a platform client, checked
// against the stand-in over real sockets.

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "libs/base/json_fields.h"
#include "libs/http/http_client.h"
#include "libs/platform/http_platform_client.h"
#include "libs/standin/platform_stand_in.h"
#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr PlatformDuty kDuty = PlatformDuty::kConfig;
constexpr char kDomain[] = "dk-east-b";
constexpr HttpServerLimits kLimits{4 * 1024 * 1024, 100};
constexpr std::size_t kTooLargeBytes = 1024 * 1024 + 10;

const tcp::endpoint kAnyPort(asio::ip::make_address("127.0.0.1"), 0);

// A stand-in with one plain listener and one of a failure domain.
class Platform {
 public:
  Platform()
      : stand_in_(context),
        server_({&context}, kLimits, stand_in_.Handler()),
        domain_server_({&context}, kLimits, stand_in_.Handler(kDomain)),
        endpoint(*server_.Listen(kAnyPort, nullptr)),
        client(context, endpoint),
        domain_client(context, *domain_server_.Listen(kAnyPort, nullptr)),
        http_(context) {}

  void SetFaults(const std::string& faults) { Put("/faults", faults); }
  void SetHosts(const std::string& hosts) { Put("/hosts", hosts); }

  std::int64_t Calls(const std::string& kind) {
    HttpRequest request;
    request.target = "/stats";
    HttpFailure failure;
    auto response =
        RunCoroutine(context, http_.Call(endpoint, request, {}, &failure));
    CHECK_TRUE(response.has_value());
    return IntField(ParseJson(response->body)->as_object(), kind).value_or(0);
  }

  asio::io_context context{1};

 private:
  void Put(const std::string& target, const std::string& body) {
    HttpRequest request;
    request.method = "PUT";
    request.target = target;
    request.body = body;
    HttpFailure failure;
    auto response =
        RunCoroutine(context, http_.Call(endpoint, request, {}, &failure));
    CHECK_TRUE(response && response->status == 200);
    http_.CloseIdleConnections(endpoint);
  }

  PlatformStandIn stand_in_;
  HttpServer server_;
  HttpServer domain_server_;

 public:
  tcp::endpoint endpoint;
  HttpPlatformClient client;
  HttpPlatformClient domain_client;

 private:
  HttpClient http_;
};

// The result of a call: kOk or the reason's code.
template <typename T>
ResultCode CodeOf(Platform& platform,
                  asio::awaitable<std::optional<T>> call,
                  const Reason& reason) {
  return RunCoroutine(platform.context, std::move(call)) ? ResultCode::kOk
                                                         : reason.code;
}

ResultCode Read(Platform& platform, PlatformClient& client) {
  Reason reason;
  return CodeOf(platform, client.Get(kDuty, "object", &reason), reason);
}

ResultCode Write(Platform& platform, PlatformClient& client) {
  Reason reason;
  return CodeOf(platform, client.Create(kDuty, "written", "1", &reason),
                reason);
}

bool Exists(Platform& platform, const std::string& name) {
  return RunCoroutine(platform.context,
                      platform.client.Get(kDuty, name, nullptr))
      .has_value();
}

}  // namespace

TEST_GROUP(PlatformContract) {
  Platform platform;
  Reason reason;

  StoreVersion Create(const std::string& name, const std::string& value) {
    auto version = RunCoroutine(
        platform.context, platform.client.Create(kDuty, name, value, &reason));
    CHECK_TRUE(version.has_value());
    return *version;
  }

  PlatformObject Get(const std::string& name) {
    auto object = RunCoroutine(platform.context,
                               platform.client.Get(kDuty, name, &reason));
    CHECK_TRUE(object.has_value());
    return *object;
  }
};

TEST(PlatformContract, CreatesOnlyWhatIsAbsent) {
  const StoreVersion version = Create("object", "{\"n\":1}");
  const ResultCode again = CodeOf(
      platform, platform.client.Create(kDuty, "object", "{\"n\":2}", &reason),
      reason);
  CHECK_TRUE(again == ResultCode::kPlatformExists);
  STRCMP_EQUAL("{\"n\":1}", Get("object").value.c_str());
  CHECK(Get("object").version == version);
}

TEST(PlatformContract, UpdatesOnlyTheVersionThatWasRead) {
  PlatformObject object{"object", Create("object", "1"), "2"};
  auto version = RunCoroutine(platform.context,
                              platform.client.Update(kDuty, object, &reason));
  CHECK_TRUE(version && *version > object.version);
  const ResultCode code =
      CodeOf(platform, platform.client.Update(kDuty, object, &reason), reason);
  CHECK_TRUE(code == ResultCode::kPlatformConflict);
  STRCMP_EQUAL("2", Get("object").value.c_str());
}

TEST(PlatformContract, DeletesOnlyTheVersionThatWasRead) {
  const StoreVersion version = Create("object", "1");
  ResultCode code =
      CodeOf(platform,
             platform.client.Delete(kDuty, "object", {0, version.revision + 1},
                                    &reason),
             reason);
  CHECK_TRUE(code == ResultCode::kPlatformConflict);
  code =
      CodeOf(platform,
             platform.client.Delete(kDuty, "object", version, &reason), reason);
  CHECK_TRUE(code == ResultCode::kOk);
  CHECK_TRUE(Read(platform, platform.client) == ResultCode::kPlatformNotFound);
}

TEST(PlatformContract, ListsByPrefixAndName) {
  Create("b-2", "2");
  Create("a-1", "0");
  Create("b-1", "1");
  auto objects = RunCoroutine(platform.context,
                              platform.client.List(kDuty, "b-", &reason));
  CHECK_TRUE(objects && objects->size() == 2);
  STRCMP_EQUAL("b-1", (*objects)[0].name.c_str());
  STRCMP_EQUAL("b-2", (*objects)[1].name.c_str());
}

// Guards against a name that ends the path or the query of a call.
TEST(PlatformContract, ANameMayHoldAnyCharacter) {
  for (const char* name : {"x&y", "x+y", "x#y", "x%y", "x%20y", "x y", "x?y",
                           "x/y", "x=y;", "x\"y\\", "x\r\ny", "x\xc3\xa9"}) {
    const StoreVersion version = Create(name, "1");
    STRCMP_EQUAL(name, Get(name).name.c_str());
    const auto objects = RunCoroutine(
        platform.context, platform.client.List(kDuty, name, &reason));
    CHECK_TEXT(objects && objects->size() == 1, name);
    PlatformObject object{name, version, "2"};
    const auto updated = RunCoroutine(
        platform.context, platform.client.Update(kDuty, object, &reason));
    CHECK_TEXT(updated.has_value(), name);
    const auto watched = RunCoroutine(
        platform.context,
        platform.client.Watch(kDuty, name, version, milliseconds(20), &reason));
    CHECK_TEXT(watched && watched->value == "2", name);
    const auto deleted =
        RunCoroutine(platform.context,
                     platform.client.Delete(kDuty, name, *updated, &reason));
    CHECK_TEXT(deleted.has_value(), name);
  }
}

TEST(PlatformContract, WatchWakesOnAWrite) {
  const StoreVersion version = Create("object", "1");
  auto change = [&]() -> asio::awaitable<void> {
    PlatformObject object{"object", version, "2"};
    co_await platform.client.Update(kDuty, object, nullptr);
  };
  asio::co_spawn(platform.context, change(), asio::detached);
  auto object =
      RunCoroutine(platform.context,
                   platform.domain_client.Watch(kDuty, "object", version,
                                                milliseconds(60'000), &reason));
  CHECK_TRUE(object.has_value());
  STRCMP_EQUAL("2", object->value.c_str());
  LONGS_EQUAL(1, platform.Calls("watch"));
}

TEST(PlatformContract, WatchEndsWithoutAChange) {
  const StoreVersion version = Create("object", "1");
  const ResultCode code =
      CodeOf(platform,
             platform.client.Watch(kDuty, "object", version, milliseconds(20),
                                   &reason),
             reason);
  CHECK_TRUE(code == ResultCode::kPlatformNotFound);
}

TEST(PlatformContract, RefusesAnOversizedValue) {
  const std::string value = "\"" + std::string(kTooLargeBytes, 'x') + "\"";
  const ResultCode code =
      CodeOf(platform, platform.client.Create(kDuty, "object", value, &reason),
             reason);
  CHECK_TRUE(code == ResultCode::kPlatformRejected);
  CHECK_FALSE(Exists(platform, "object"));
}

TEST(PlatformContract, ShowsFaultsByTheirResults) {
  struct Case {
    const char* faults;
    bool through_domain;
    ResultCode read;
    ResultCode write;
    bool write_took_effect;
  };
  const Case cases[] = {
      {"{}", false, ResultCode::kOk, ResultCode::kOk, true},
      {"{}", true, ResultCode::kOk, ResultCode::kOk, true},
      {"{\"delay_ms\":30}", false, ResultCode::kOk, ResultCode::kOk, true},
      {"{\"lose_write_answers\":1}", false, ResultCode::kOk,
       ResultCode::kPlatformUnknown, true},
      {"{\"down\":true}", false, ResultCode::kPlatformUnavailable,
       ResultCode::kPlatformUnknown, false},
      {"{\"silent\":true}", false, ResultCode::kPlatformUnavailable,
       ResultCode::kPlatformUnknown, false},
      {"{\"cut\":[\"dk-east-b\"]}", true, ResultCode::kPlatformUnavailable,
       ResultCode::kPlatformUnknown, false},
      {"{\"cut\":[\"dk-east-b\"]}", false, ResultCode::kOk, ResultCode::kOk,
       true},
      {"{\"cut\":[\"dk-east-a\"]}", true, ResultCode::kOk, ResultCode::kOk,
       true},
  };
  for (const Case& it : cases) {
    Platform fresh;
    RunCoroutine(fresh.context,
                 fresh.client.Create(kDuty, "object", "1", nullptr));
    fresh.SetFaults(it.faults);
    PlatformClient& client =
        it.through_domain ? fresh.domain_client : fresh.client;
    CHECK_TRUE_TEXT(Read(fresh, client) == it.read, it.faults);
    CHECK_TRUE_TEXT(Write(fresh, client) == it.write, it.faults);
    fresh.SetFaults("{}");
    CHECK_TRUE_TEXT(Exists(fresh, "written") == it.write_took_effect,
                    it.faults);
    CHECK_TRUE_TEXT(Read(fresh, client) == ResultCode::kOk, it.faults);
  }
}

TEST(PlatformContract, NothingListeningIsUnavailableForReadsAndWrites) {
  tcp::acceptor closed(platform.context, kAnyPort);
  const tcp::endpoint endpoint = closed.local_endpoint();
  closed.close();
  HttpPlatformClient client(platform.context, endpoint);
  CHECK_TRUE(Read(platform, client) == ResultCode::kPlatformUnavailable);
  CHECK_TRUE(Write(platform, client) == ResultCode::kPlatformUnavailable);
}

TEST(PlatformContract, OldConnectionsGoSilentAndNewOnesWork) {
  Create("object", "1");
  platform.SetFaults("{\"silent_open\":true}");
  CHECK_TRUE(Read(platform, platform.client) ==
             ResultCode::kPlatformUnavailable);
  HttpPlatformClient fresh(platform.context, platform.endpoint);
  CHECK_TRUE(Read(platform, fresh) == ResultCode::kOk);
  CHECK_TRUE(Read(platform, platform.client) == ResultCode::kOk);
}

TEST(PlatformContract, CallsWaitForTheHostsShare) {
  struct Case {
    PlatformRates fleet;
    std::size_t hosts;
    int calls;
    int most_ok;
    int least_ok;
  };
  const Case cases[] = {
      // All get their turn, one after the other.
      {{1'000, 1'000}, 1, 50, 50, 50},
      // One call is saved up at the start; some find no room to wait.
      {{1, 1}, 1'000, 80, 1, 1},
  };
  Create("object", "1");
  for (const Case& it : cases) {
    HttpPlatformClient client(platform.context, platform.endpoint);
    client.Limit(it.fleet, it.hosts);
    int ok = 0;
    int limited = 0;
    int ended = 0;
    const auto read = [&]() -> asio::awaitable<void> {
      Reason why;
      const bool found =
          (co_await client.Get(kDuty, "object", &why)).has_value();
      ok += found ? 1 : 0;
      limited += !found && why.code == ResultCode::kPlatformLimited ? 1 : 0;
      ++ended;
    };
    for (int n = 0; n < it.calls; ++n)
      asio::co_spawn(platform.context, read(), asio::detached);
    platform.context.restart();
    while (ended < it.calls)
      platform.context.run_one();
    CHECK_TRUE(ok >= it.least_ok && ok <= it.most_ok);
    LONGS_EQUAL(it.calls, ok + limited);
    // What was refused was not sent.
    LONGS_EQUAL(ok, client.counter().Count(kDuty, PlatformCallKind::kRead));
    const PlatformDutyStats figures = client.limiter()->Stats(kDuty);
    LONGS_EQUAL(limited, figures.over_limit);
    CHECK_TRUE(figures.waited > 0);
    LONGS_EQUAL(0, figures.waiting);
  }
}

TEST(PlatformContract, HostListChangesSinceAVersion) {
  const auto since = [&](StoreVersion version, int wait_ms) {
    auto hosts = RunCoroutine(
        platform.context,
        platform.client.HostsSince(version, milliseconds(wait_ms), &reason));
    CHECK_TRUE(hosts.has_value());
    return *hosts;
  };
  platform.SetHosts("{\"hosts\":[{\"name\":\"host-1\"}]}");
  const PlatformHosts whole = since({}, 0);
  CHECK_TRUE(whole.is_whole && whole.version.IsSet());
  CHECK_TRUE(whole.text.find("host-1") != std::string::npos);
  const PlatformHosts unchanged = since(whole.version, 1);
  CHECK_TRUE(!unchanged.is_whole && unchanged.text.empty());
  CHECK(unchanged.version == whole.version);

  platform.SetHosts(
      "{\"hosts\":[{\"name\":\"host-1\"},{\"name\":\"host-2\"}]}");
  const PlatformHosts changes = since(whole.version, 10'000);
  CHECK_TRUE(!changes.is_whole && changes.version > whole.version);
  CHECK_TRUE(changes.text.find("host-2") != std::string::npos);
  CHECK_TRUE(changes.text.find("host-1") == std::string::npos);
  // A version that this platform never had, as after a restore.
  const StoreVersion unknown{0, whole.version.revision + 100};
  CHECK_TRUE(since(unknown, 10'000).is_whole);
  // Without interest in the reason.
  auto again = RunCoroutine(
      platform.context,
      platform.client.HostsSince(unknown, milliseconds(0), nullptr));
  CHECK_TRUE(again && again->is_whole);
}

TEST(PlatformContract, HostListLags) {
  constexpr char kNewList[] = "{\"hosts\":[{\"name\":\"host-1\"}]}";
  platform.SetFaults("{\"lag_hosts_ms\":60000}");
  platform.SetHosts(kNewList);
  auto hosts = RunCoroutine(platform.context, platform.client.Hosts(&reason));
  CHECK_TRUE(hosts && *hosts != kNewList);
  platform.SetFaults("{}");
  hosts = RunCoroutine(platform.context, platform.client.Hosts(&reason));
  STRCMP_EQUAL(kNewList, hosts->c_str());
}

}  // namespace turmericwinch
