// Calls whose route or team allows only some regions.

#include <CppUTest/TestHarness.h>

#include "gateway_call_fixture.h"

namespace turmericwinch::platform {

namespace {

// Domains "a" and "b" are in the region "east", "c" is in "west", and the
// region of "d" is not known.
GatewaySettings RegionSettings() {
  GatewaySettings settings = GatewayCallSettings();
  settings.domain_regions = {{"a", "east"}, {"b", "east"}, {"c", "west"}};
  return settings;
}

struct RegionsFixture : GatewayCallFixture {
  RegionsFixture() : GatewayCallFixture(RegionSettings()) {}
};

}  // namespace

// Target `one` is in "b", `two` and `three` in "c".
TEST_GROUP_BASE(GatewayCallRegions, RegionsFixture) {
  ScriptedTarget three{context.traffic, script};

  // Puts a configuration in force whose routes and team have these regions, as
  // JSON arrays, and lists restarted targets in the domains.
  void Start(const std::string& route_regions, const std::string& team_regions,
             const std::vector<std::string>& domains = {"b", "c", "c"}) {
    const std::string route =
        R"("host":"h","service":"app","max_attempts":3,"timeout_ms":60000,
           "regions_allowed":)" +
        route_regions;
    Reason reason;
    auto config = DecodeConfig(
        R"({"version":1,"services":[{"name":"app"}],"routes":[
            {"name":"again","path_prefix":"/again/","type":"idempotent",)" +
            route + R"(},
            {"name":"stream","path_prefix":"/stream/","type":"streaming",
             "resumable":true,)" +
            route + R"(}],"tenants":[{"name":"team","api_keys":["key"],
            "regions_allowed":)" +
            team_regions + "}]}",
        {{"a", "b", "c", "d"}}, &reason);
    CHECK(config.has_value());
    HostList list;
    int n = 0;
    for (ScriptedTarget* it : {&one, &two, &three}) {
      list.targets.push_back({"i-" + std::to_string(n), domains[n],
                              ToText(it->endpoint),
                              std::to_string(++incarnation_), "app", false});
      ++n;
      it->requests.clear();
    }
    context.targets.Update(list, *config->objects);
    context.config.Set(
        std::make_shared<const GatewayConfig>(std::move(*config)));
  }
};

TEST(GatewayCallRegions, AttemptsAndRetriesStayInside) {
  struct Case {
    const char* route;
    const char* team;
    std::vector<TargetBehavior> script;
    int status;
    std::size_t at_one;
    // Requests at `two` and `three` together.
    std::size_t at_others;
  };
  const Case cases[] = {
      {R"(["east"])", "[]", {}, 200, 1, 0},
      {"[]", R"(["east"])", {}, 200, 1, 0},
      {R"(["east","west"])", R"(["east"])", {}, 200, 1, 0},
      {R"(["west"])", "[]", {TargetBehavior::kClose}, 200, 0, 2},
      {R"(["west"])", "[]", {TargetBehavior::kNotRun}, 200, 0, 2},
      {R"(["west"])", "[]", {TargetBehavior::kOtherTarget}, 200, 0, 2},
      {"[]", R"(["west"])", {TargetBehavior::kFail}, 200, 0, 2},
      // The only other targets are outside.
      {R"(["east"])", "[]", {TargetBehavior::kFail}, 500, 1, 0},
      {R"(["east"])", "[]", {TargetBehavior::kClose}, 502, 1, 0},
      {R"(["east"])", "[]", {TargetBehavior::kNotRun}, 503, 1, 0},
      {R"(["east"])", R"(["west"])", {}, 503, 0, 0},
      {R"(["nowhere"])", "[]", {}, 503, 0, 0},
      {"[7]", "[]", {}, 503, 0, 0},
  };
  for (const Case& it : cases) {
    Start(it.route, it.team);
    script = it.script;
    LONGS_EQUAL(it.status, StatusOf("/again/1"));
    UNSIGNED_LONGS_EQUAL(it.at_one, one.requests.size());
    UNSIGNED_LONGS_EQUAL(it.at_others,
                         two.requests.size() + three.requests.size());
  }
}

TEST(GatewayCallRegions, AStreamIsResumedInside) {
  Start(R"(["west"])", "[]");
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  const auto response = Call(Request("/stream/1"));
  std::string expected;
  for (int n = 1; n <= 5; ++n)
    expected += EventText(n);
  CHECK(response.has_value());
  STRCMP_EQUAL(expected.c_str(), response->body.c_str());
  UNSIGNED_LONGS_EQUAL(1, two.requests.size());
  UNSIGNED_LONGS_EQUAL(1, three.requests.size());
  UNSIGNED_LONGS_EQUAL(0, one.requests.size());
}

// The stream ends instead.
TEST(GatewayCallRegions, AStreamIsNotResumedOutside) {
  Start("[]", R"(["east"])");
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  CHECK(!Call(Request("/stream/1")).has_value());
  UNSIGNED_LONGS_EQUAL(1, one.requests.size());
  UNSIGNED_LONGS_EQUAL(0, two.requests.size() + three.requests.size());
}

TEST(GatewayCallRegions, ADomainWithoutARegionIsReachedOnlyWithoutAList) {
  Start(R"(["east","west"])", "[]", {"d", "d", "d"});
  LONGS_EQUAL(503, StatusOf("/again/1"));
  UNSIGNED_LONGS_EQUAL(0, one.requests.size() + two.requests.size());
  Start("[]", "[]", {"d", "d", "d"});
  LONGS_EQUAL(200, StatusOf("/again/1"));
}

// Another host would reject it as well. Status 503 says that it was not run.
TEST(GatewayCallRegions, TheRejectionNamesNoRetryTime) {
  Start(R"(["east"])", R"(["west"])");
  const auto response = Call(Request("/again/1"));
  CHECK(response.has_value());
  LONGS_EQUAL(503, response->status);
  STRCMP_CONTAINS("310", response->body.c_str());
  CHECK(!response->headers.Has("Retry-After"));
}

// Guards against a rejection of a request that a target refused as not run
// while the other ones are full: the caller still has time.
TEST(GatewayCallRegions, ARefusedRequestWaitsForAnotherTargetInside) {
  Start(R"(["west"])", "[]");
  RoutingRequest inside{"app"};
  inside.domains =
      std::make_shared<const std::set<std::string>>(std::set<std::string>{"c"});
  Reason reason;
  std::vector<TargetChoice> full;
  while (auto choice = context.targets.BeginAttempt(inside, {"i-1"}, &reason))
    full.push_back(*choice);
  CHECK(!full.empty());
  script = {TargetBehavior::kNotRun};
  // Ends an attempt once the retry waits.
  boost::asio::co_spawn(
      context.traffic,
      [&]() -> boost::asio::awaitable<void> {
        boost::asio::steady_timer timer(context.traffic);
        while (context.targets.QueueSizes()["app"] == 0) {
          timer.expires_after(std::chrono::milliseconds(1));
          co_await timer.async_wait(boost::asio::use_awaitable);
        }
        context.targets.EndAttempt(full.front());
      },
      boost::asio::detached);
  LONGS_EQUAL(200, StatusOf("/again/1"));
  UNSIGNED_LONGS_EQUAL(1, two.requests.size());
  UNSIGNED_LONGS_EQUAL(1, three.requests.size());
  UNSIGNED_LONGS_EQUAL(0, one.requests.size());
}

}  // namespace turmericwinch::platform
