#include "platform/edge_dialect.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch::platform {

namespace {

HttpRequest Request(
    std::initializer_list<std::pair<std::string, std::string>> fields) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/app/1?q=2";
  request.body = "body";
  for (const auto& [name, value] : fields)
    request.headers.Add(name, value);
  return request;
}

HttpHeaders Headers(
    std::initializer_list<std::pair<std::string, std::string>> fields) {
  HttpHeaders headers;
  for (const auto& [name, value] : fields)
    headers.Add(name, value);
  return headers;
}

}  // namespace

TEST_GROUP(EdgeDialect) {
  GatewayDialect dialect = MakeEdgeDialect();
  Reason reason;
};

TEST(EdgeDialect, AllFieldsOfARequestAreDecoded) {
  const auto call = dialect.decode_request(
      Request({{"Host", "a.example"},
               {"turmericwinch-attempt-id", "id1"},
               {"Turmericwinch-Token-Count", "1460, 80"},
               {"Turmericwinch-Prefix-Hash", "5c1e07a2:800,ff:410"},
               {"Turmericwinch-Deadline-Ms", "5000"},
               {"Last-Event-Id", "7"},
               {"Authorization", "Token secret"}}),
      &reason);
  CHECK(call.has_value());
  STRCMP_EQUAL("id1", call->id.c_str());
  STRCMP_EQUAL("a.example", call->host.c_str());
  STRCMP_EQUAL("/app/1", call->path.c_str());
  STRCMP_EQUAL("secret", call->api_key.c_str());
  LONGS_EQUAL(1540, call->tokens->Sum());
  LONGS_EQUAL(2, call->prompt_parts.size());
  LONGS_EQUAL(0xff, call->prompt_parts[1].id);
  LONGS_EQUAL(410, call->prompt_parts[1].tokens);
  LONGS_EQUAL(5000, call->time_left->count());
  STRCMP_EQUAL("7", call->after_event->text().c_str());
}

TEST(EdgeDialect, MalformedFieldsAreIgnored) {
  const char* counts[] = {"", "12", "a,b", "-1,5", "1,", "1,2,3"};
  for (const char* it : counts) {
    const auto call =
        dialect.decode_request(Request({{"Turmericwinch-Attempt-Id", "x"},
                                        {"Turmericwinch-Token-Count", it},
                                        {"Turmericwinch-Deadline-Ms", "soon"}}),
                               &reason);
    CHECK(!call->tokens.has_value());
    CHECK(!call->time_left.has_value());
  }
}

TEST(EdgeDialect, ARequestWithoutAnAttemptIdIsRejected) {
  CHECK(!dialect.decode_request(Request({{"Host", "a"}}), &reason).has_value());
  CHECK(reason.code == ResultCode::kBadRequest);
}

TEST(EdgeDialect,
     TargetsGetTheTeamButNeitherTheKeyNorReservedHeadersOfTheCaller) {
  const char* dropped[] = {
      "Authorization",
      "Connection",
      "X-Hop",
      "Keep-Alive",
      "Transfer-Encoding",
      "Turmericwinch-Cache-Retain",
      "Turmericwinch-Pin-Ttl-Ms",
      "Turmericwinch-Kv-Backup",
      "Turmericwinch-Not-Executed",
      "Kv-From",
      "Kv-Fetch",
  };
  HttpRequest request = Request({{"Host", "a.example"},
                                 {"Turmericwinch-Attempt-Id", "id1"},
                                 {"Turmericwinch-Model", "m"},
                                 {"Turmericwinch-Length-Hint", "30"},
                                 {"Turmericwinch-Tenant", "forged"},
                                 {"Turmericwinch-Target-Instance", "forged"},
                                 {"Turmericwinch-Request-Priority", "0"},
                                 {"Turmericwinch-Deadline-Ms", "5000"}});
  for (const char* it : dropped)
    request.headers.Add(it, std::string(it) == "Connection" ? "X-Hop" : "v");
  RequestMetadata metadata;
  metadata.target = "i-1";
  metadata.team = "team";
  metadata.time_left = std::chrono::milliseconds(900);
  metadata.priority = 12;
  const HttpRequest out = dialect.encode_request(request, metadata);
  for (const char* it : dropped)
    CHECK(!out.headers.Has(it));
  STRCMP_EQUAL("/app/1?q=2", out.target.c_str());
  STRCMP_EQUAL("body", out.body.c_str());
  struct Case {
    const char* name;
    const char* value;
  };
  const Case kept[] = {
      {"Host", "a.example"},
      {"Turmericwinch-Attempt-Id", "id1"},
      {"Turmericwinch-Model", "m"},
      {"Turmericwinch-Length-Hint", "30"},
      {"Turmericwinch-Tenant", "team"},
      {"Turmericwinch-Target-Instance", "i-1"},
      {"Turmericwinch-Request-Priority", "9"},
      {"Turmericwinch-Deadline-Ms", "900"},
  };
  for (const Case& it : kept)
    STRCMP_EQUAL(it.value, std::string(out.headers.Get(it.name)).c_str());
  LONGS_EQUAL(std::size(kept), out.headers.fields().size());
}

TEST(EdgeDialect, OnlyASignedResponseIsASuccess) {
  struct Case {
    int status;
    HttpHeaders headers;
    HeadVerdict verdict;
  };
  const std::pair<std::string, std::string> id{"Turmericwinch-Attempt-Id", "x"};
  const std::pair<std::string, std::string> mac{
      "Turmericwinch-Response-Signature", "s"};
  const std::pair<std::string, std::string> not_run{
      "Turmericwinch-Not-Executed", "1"};
  const Case cases[] = {
      {200, Headers({id, mac}), HeadVerdict::kAnswer},
      {200, Headers({id}), HeadVerdict::kUnverified},
      {200, Headers({mac}), HeadVerdict::kUnverified},
      {200, Headers({id, mac, {"Content-Encoding", "gzip"}}),
       HeadVerdict::kUnverified},
      {500, Headers({id, mac}), HeadVerdict::kAnswer},
      {500, Headers({}), HeadVerdict::kAnswer},
      {503, Headers({id}), HeadVerdict::kAnswer},
      {503, Headers({id, not_run}), HeadVerdict::kNotRun},
      {400, Headers({id, not_run}), HeadVerdict::kNotRun},
      {421, Headers({id}), HeadVerdict::kOtherTarget},
      {503, Headers({not_run}), HeadVerdict::kUnverified},
      {400, Headers({not_run}), HeadVerdict::kUnverified},
      {421, Headers({}), HeadVerdict::kUnverified},
  };
  for (const Case& it : cases)
    CHECK(it.verdict == dialect.classify_head(it.status, it.headers));
}

TEST(EdgeDialect, ARefusalPromisesThatTheRequestNeverRunsOnlyIfThatIsTrue) {
  struct Case {
    ResultCode code;
    bool may_have_run;
    int status;
  };
  const Case cases[] = {
      {ResultCode::kOverloaded, false, 503},
      {ResultCode::kNoTarget, false, 503},
      {ResultCode::kNoConfig, false, 503},
      {ResultCode::kTargetFailed, false, 503},
      {ResultCode::kTargetTimeout, false, 503},
      {ResultCode::kBudgetUnreachable, false, 503},
      {ResultCode::kBudgetExhausted, false, 402},
      {ResultCode::kUnauthorized, false, 401},
      {ResultCode::kNotFound, false, 404},
      {ResultCode::kBadRequest, false, 400},
      {ResultCode::kOverloaded, true, 502},
      {ResultCode::kTargetFailed, true, 502},
      {ResultCode::kTargetTimeout, true, 504},
  };
  GatewayCall call;
  call.id = "id1";
  for (const Case& it : cases) {
    const HttpResponse response = dialect.make_refusal(
        &call, {it.code, ""}, it.may_have_run, std::chrono::milliseconds(50));
    LONGS_EQUAL(it.status, response.status);
    CHECK((response.status == 503) == response.headers.Has("Retry-After"));
  }
}

// Guards against a header being dropped because of its fourth value, and
// against values that no target can mean.
TEST(EdgeDialect, LoadHeaderHasThreeOrFourValues) {
  struct Case {
    const char* text;
    bool has_load;
    std::int64_t speed;
    bool is_invalid;
  };
  const Case cases[] = {{"3,1,8", true, 0, false},
                        {" 3 , 1 , 8 , 250 ", true, 250, false},
                        {"3,1,8,100,7,x", true, 100, false},
                        {"3,1,8,0", true, 0, true},
                        {"3,1,8,", true, 0, true},
                        {"3,1,8,-5", true, 0, true},
                        {"3,1,8,fast", true, 0, true},
                        {"3,1,8,1.5", true, 0, true},
                        {"3,1,8,100001", true, 0, true},
                        {"3,1,8,99999999999999999999", true, 0, true},
                        {"", false, 0, true},
                        {"3", false, 0, true},
                        {"3,1", false, 0, true},
                        {"3,1,", false, 0, true},
                        {"a,b,c", false, 0, true},
                        {"-1,0,8", false, 0, true},
                        {"3,-1,8,100", false, 0, true},
                        {"3,1,1000001,100", false, 0, true},
                        {"99999999999999999999,1,8", false, 0, true}};
  for (const Case& it : cases) {
    const LoadHeader header =
        dialect.parse_load(Headers({{"Turmericwinch-Server-Load", it.text}}));
    CHECK_TEXT(it.has_load == header.load.has_value(), it.text);
    CHECK_TEXT(it.is_invalid == header.is_invalid, it.text);
    if (!header.load)
      continue;
    LONGS_EQUAL(3, header.load->running);
    LONGS_EQUAL(1, header.load->waiting);
    LONGS_EQUAL(8, header.load->slots);
    LONGS_EQUAL_TEXT(it.speed, header.load->speed_percent.value_or(0), it.text);
  }
  const LoadHeader absent = dialect.parse_load(HttpHeaders());
  CHECK(!absent.load && !absent.is_invalid);
}

TEST(EdgeDialect, ARateLimitIsAPositiveDecimalNumber) {
  const auto limit = [this](const char* text) {
    return dialect.parse_rate_limit(Headers({{"Server-Limit", text}}));
  };
  DOUBLES_EQUAL(4.25, *limit("4.25"), 1e-9);
  DOUBLES_EQUAL(12, *limit(" 12 "), 1e-9);
  for (const char* it : {"", "0", "-1", "many", "1,5", "nan", "inf", "1e999"})
    CHECK_TEXT(!limit(it), it);
  CHECK(!dialect.parse_rate_limit(HttpHeaders()));
}

TEST(EdgeDialect, APauseIsReadOnlyFromARefusalAndIsBounded) {
  struct Case {
    int status;
    const char* text;
    std::int64_t pause_ms;
  };
  const Case cases[] = {
      {503, "2", 2'000},      {503, " 0.25 ", 250},
      {503, "1e300", 30'000}, {503, "-1", 0},
      {503, "0", 0},          {503, "nan", 0},
      {503, "inf", 0},        {503, "", 0},
      {503, "2 s", 0},        {503, "Sat, 05 Dec 2026 04:00:00 GMT", 0},
      {200, "2", 0},          {429, "2", 0},
  };
  for (const Case& it : cases) {
    const TargetNotice notice =
        dialect.parse_notice(it.status, Headers({{"Retry-After", it.text}}));
    LONGS_EQUAL_TEXT(it.pause_ms, notice.pause.count(), it.text);
    CHECK(!notice.leaving);
  }
  CHECK(dialect.parse_notice(200, Headers({{"Server-Leaving", "1"}})).leaving);
  CHECK(!dialect.parse_notice(200, Headers({{"Server-Leaving", "0"}})).leaving);
}

}  // namespace turmericwinch::platform
