// A gateway between a caller and two scripted targets.

#ifndef TESTS_ADAPTER_GATEWAY_CALL_FIXTURE_H_
#define TESTS_ADAPTER_GATEWAY_CALL_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/gateway/gateway_call_runner.h"
#include "libs/http/http_client.h"
#include "libs/http/http_server.h"
#include "platform/config_decoder.h"
#include "platform/edge_dialect.h"
#include "scripted_target.h"
#include "support/run_coroutine.h"

namespace turmericwinch::platform {

inline constexpr char kGatewayCallConfig[] = R"({"version":1,"routes":[
 {"name":"once","host":"h","path_prefix":"/once/","type":"non_idempotent",
  "service":"app","max_attempts":2,"timeout_ms":60000},
 {"name":"again","host":"h","path_prefix":"/again/","type":"idempotent",
  "service":"app","max_attempts":2,"timeout_ms":60000},
 {"name":"stream","host":"h","path_prefix":"/stream/","type":"streaming",
  "service":"app","max_attempts":2,"resumable":true,"timeout_ms":60000},
 {"name":"fixed","host":"h","path_prefix":"/fixed/","type":"streaming",
  "service":"app","max_attempts":2,"resumable":false,"timeout_ms":60000}],
 "services":[{"name":"app"}],
 "tenants":[{"name":"team","api_keys":["key"],"prepaid":1000}]})";

inline GatewaySettings GatewayCallSettings() {
  GatewaySettings settings;
  settings.host = "host";
  settings.failure_domain = "a";
  settings.retry_ratio = 0.2;
  settings.retry_slack = 500;
  return settings;
}

struct GatewayCallFixture : Utest {
  explicit GatewayCallFixture(GatewaySettings settings = GatewayCallSettings())
      : context(std::move(settings), MakeEdgeDialect()) {}

  GatewayContext context;
  std::vector<TargetBehavior> script;
  ScriptedTarget one{context.traffic, script};
  ScriptedTarget two{context.traffic, script};
  HttpServer gateway{
      {&context.traffic},
      {kHttpMostBodyBytes, 16},
      [this](const HttpRequest& request, HttpExchange& exchange) {
        return RunGatewayCall(context, request, exchange);
      }};
  boost::asio::ip::tcp::endpoint address =
      *gateway.Listen({boost::asio::ip::make_address("127.0.0.1"), 0}, nullptr);
  HttpClient caller{context.traffic};
  HttpFailure failure;

  // Lists both targets with a new incarnation, so that the gateway knows
  // nothing about them.
  void RestartTargets(const GatewayConfig& config) {
    const std::string incarnation = std::to_string(++incarnation_);
    HostList list;
    list.targets = {
        {"i-1", "a", ToText(one.endpoint), incarnation, "app", false},
        {"i-2", "a", ToText(two.endpoint), incarnation, "app", false},
    };
    context.targets.Update(list, *config.objects);
  }

  // Lists one target at `endpoint`, with a new incarnation, and no other.
  void ListOnly(const boost::asio::ip::tcp::endpoint& endpoint) {
    HostList list;
    list.targets = {{"i-3", "a", ToText(endpoint),
                     std::to_string(++incarnation_), "app", false}};
    context.targets.Update(list, *context.config.Get()->objects);
  }

  // Lists both targets as restarted after a crash.
  void ListCrash() {
    RestartTargets(*context.config.Get());
    HostList none;
    context.quarantine.OnTargetList(none);
  }

  // The response to a request whose prompt has `parts` and a last part of its
  // own; no two such requests are alike.
  int StatusOfPrompt(const std::string& parts) {
    const std::string own = std::to_string(++requests_);
    HttpRequest request = Request("/fixed/1");
    request.body = own;
    request.headers.Add("Turmericwinch-Token-Count", "1,1");
    request.headers.Add("Turmericwinch-Prefix-Hash", parts + "," + own + ":9");
    const auto response = Call(request);
    return response ? response->status : 0;
  }

  int incarnation_ = 0;
  int requests_ = 0;

  void setup() override {
    Reason reason;
    auto config = DecodeConfig(kGatewayCallConfig, {{"a"}}, &reason);
    RestartTargets(*config);
    context.ledger.Grant("team", 500);
    context.config.Set(
        std::make_shared<const GatewayConfig>(std::move(*config)));
  }

  HttpRequest Request(const std::string& path) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.body = "question";
    request.headers.Add("Host", "h");
    request.headers.Add("Turmericwinch-Attempt-Id", "id1");
    request.headers.Add("Authorization", "Token key");
    return request;
  }

  std::optional<HttpResponse> Call(const HttpRequest& request) {
    return RunCoroutine(context.traffic, caller.Call(address, request,
                                                     HttpTimeouts(), &failure));
  }

  int StatusOf(const std::string& path) {
    const auto response = Call(Request(path));
    return response ? response->status : 0;
  }

  // Number of requests that the targets have received.
  std::size_t ReceivedRequests() const {
    return one.requests.size() + two.requests.size();
  }

  std::int64_t Available() {
    std::int64_t available = 0;
    context.ledger.With(
        [&](HostLedger& ledger) { available = ledger.Available("team"); });
    return available;
  }
};

}  // namespace turmericwinch::platform

#endif  // TESTS_ADAPTER_GATEWAY_CALL_FIXTURE_H_
