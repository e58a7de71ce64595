#include "platform/config_decoder.h"

#include <CppUTest/TestHarness.h>

#include "libs/base/digest.h"

namespace turmericwinch::platform {

namespace {

constexpr char kConfig[] = R"({"version":7,"new_field":{},
 "routes":[
  {"name":"r1","host":"A.example","path_prefix":"/x/","type":"streaming",
   "timeout_ms":12000,"slo_ms":300,"priority":2,"service":"llm",
   "max_attempts":2,"public":false,"resumable":true},
  {"name":"r2","host":"a.example","path_prefix":"/y/","type":"streaming",
   "timeout_ms":4000.5,"split":[{"service":"llm","weight":90},
   {"service":"app","weight":10}],"resumable":false},
  {"name":"r3","host":"a.example","path_prefix":"/z/","type":"idempotent",
   "service":"app","public":true},
  {"name":"r4","host":"a.example","path_prefix":"/w/","type":"unheard-of",
   "service":"app"}],
 "services":[
  {"name":"llm","max_conns":370,"engine":{"slots":24,"stride":6}},
  {"name":"app","max_conns":110}],
 "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"prepaid":500},
  {"name":"t2","api_keys":["k3"]}]})";

}  // namespace

TEST_GROUP(ConfigDecoder) {
  Reason reason;
  bool bounds_memory = false;

  std::optional<GatewayConfig> Decode(std::string_view text) {
    return DecodeConfig(text, {{"a", "b"}, bounds_memory}, &reason);
  }
};

// Targets of other deployments make room when their memory runs out.
TEST(ConfigDecoder, TheMemoryOfTargetsCountsWhereTheDeploymentBoundsIt) {
  constexpr std::string_view text =
      R"({"version":1,"services":[{"name":"llm","engine":{"slots":2,
          "kv_capacity":5000}}]})";
  LONGS_EQUAL(0, Decode(text)->objects->TargetClass("llm")->memory_tokens);
  bounds_memory = true;
  LONGS_EQUAL(5000, Decode(text)->objects->TargetClass("llm")->memory_tokens);
}

TEST(ConfigDecoder, AllFieldsAreDecoded) {
  const auto config = Decode(kConfig);
  CHECK(config.has_value());
  LONGS_EQUAL(7, config->version);
  const PathRoute* route = config->routes.FindRoute("a.example", "/x/1");
  CHECK(route != nullptr);
  CHECK(route->kind == RouteKind::kStreamResumable);
  LONGS_EQUAL(12'000, route->timeout.count());
  LONGS_EQUAL(300, route->first_byte_goal.count());
  LONGS_EQUAL(2, route->priority);
  LONGS_EQUAL(2, route->max_attempts);
  CHECK(!route->is_public);
  const PathRoute* split = config->routes.FindRoute("a.example", "/y/1");
  CHECK(split->kind == RouteKind::kStreamOnce);
  LONGS_EQUAL(4'000, split->timeout.count());
  LONGS_EQUAL(2, split->services.size());
  LONGS_EQUAL(1, split->max_attempts);
  CHECK(config->routes.FindRoute("a.example", "/z/")->is_public);
  LONGS_EQUAL(6, config->tokens_per_event.at("llm"));
  LONGS_EQUAL(15'000, config->limits.idle_timeout.count());
  LONGS_EQUAL(1'000, config->limits.most_header_bytes);
  const ConfigSnapshot& objects = *config->objects;
  STRCMP_EQUAL("t1", objects.TeamOfKeyHash(Sha256Hex("k2"))->name.c_str());
  CHECK(objects.TeamOfKeyHash(Sha256Hex("k9")) == nullptr);
  LONGS_EQUAL(500, objects.budgets().at("t1").tokens);
  LONGS_EQUAL(0, objects.budgets().count("t2"));
  LONGS_EQUAL(24, objects.TargetClass("llm")->most_in_flight);
  LONGS_EQUAL(1, objects.FailureDomain("a")->near.size());
}

// A request on a route of an unknown type must not run twice.
TEST(ConfigDecoder, ARouteOfAnUnknownTypeIsNotRepeatable) {
  CHECK(Decode(kConfig)->routes.FindRoute("a.example", "/w/")->kind ==
        RouteKind::kOnce);
}

// Requests of a list without any region must not reach every region: only an
// absent or empty list allows that.
TEST(ConfigDecoder, RegionsOfRoutesAndTenantsAreDecoded) {
  using Names = std::vector<std::string>;
  const std::pair<const char*, Names> cases[] = {
      {R"(["x","y"])", {"x", "y"}},
      {"[]", {}},
      {"null", {}},
      {R"("x")", {}},
      {"{}", {}},
      {"7", {}},
      {R"(["x",7])", {"x", ""}},
      {"[7]", {""}},
      {"[null,[]]", {"", ""}},
  };
  for (const auto& [text, expected] : cases) {
    const std::string field = std::string(R"("regions_allowed":)") + text;
    const auto config = Decode(
        R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/",
            "service":"s",)" +
        field + R"(}],"tenants":[{"name":"t","api_keys":["k"],)" + field +
        "}]}");
    CHECK(config.has_value());
    CHECK(config->routes.FindRoute("h", "/")->regions == expected);
    CHECK(config->objects->teams().at("t").regions == expected);
  }
  const auto config = Decode(kConfig);
  CHECK(config->routes.FindRoute("a.example", "/x/")->regions.empty());
  CHECK(config->objects->teams().at("t1").regions.empty());
}

TEST(ConfigDecoder, TextThatIsNoConfigurationIsRejected) {
  const char* texts[] = {"",
                         "[]",
                         "null",
                         "{}",
                         R"({"version":"7"})",
                         R"({"version":0})",
                         R"({"version":-1})"};
  for (const char* it : texts) {
    CHECK(!Decode(it).has_value());
    CHECK(reason.code == ResultCode::kConfigInvalid);
  }
}

// Guards against an overflow by a time of any size, and against limits where
// the configuration has none.
TEST(ConfigDecoder, ColdLimitsAreReadAndBounded) {
  const auto config = Decode(R"({"version":1,"routes":[],"tenants":[],
   "services":[
    {"name":"cold","cold_start_s":8.5,"cold_per_s":11},
    {"name":"huge","cold_start_s":1e300,"cold_per_s":0.5},
    {"name":"odd","cold_start_s":-1,"cold_per_s":"11"},
    {"name":"none"}]})");
  CHECK(config.has_value());
  const ConfigSnapshot& objects = *config->objects;
  LONGS_EQUAL(8'500, objects.TargetClass("cold")->cold_time.count());
  DOUBLES_EQUAL(11, objects.TargetClass("cold")->cold_requests_per_second, 0);
  LONGS_EQUAL(3'600'000, objects.TargetClass("huge")->cold_time.count());
  DOUBLES_EQUAL(0.5, objects.TargetClass("huge")->cold_requests_per_second, 0);
  for (const char* it : {"odd", "none"}) {
    LONGS_EQUAL(0, objects.TargetClass(it)->cold_time.count());
    DOUBLES_EQUAL(0, objects.TargetClass(it)->cold_requests_per_second, 0);
  }
}

}  // namespace turmericwinch::platform
