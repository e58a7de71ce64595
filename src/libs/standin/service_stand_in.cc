#include "libs/standin/service_stand_in.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <map>

#include "libs/standin/fault_switches.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// The name by which executions are counted, the caller's own if it is there.
std::string AccountOf(const HttpRequest& request) {
  for (const char* it : {"X-Caller-Idempotency-Key", "Idempotency-Key",
                         "X-Caller-Request-Id", "X-Request-Id"}) {
    if (request.headers.Has(it))
      return std::string(request.headers.Get(it));
  }
  return {};
}

}  // namespace

class ServiceStandIn::Private {
 public:
  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpExchange& exchange);

  FaultSwitches faults;
  std::map<std::string, std::int64_t> executions;
};

ServiceStandIn::ServiceStandIn(asio::io_context&)
    : d_(std::make_shared<Private>()) {}

ServiceStandIn::~ServiceStandIn() = default;

HttpHandler ServiceStandIn::Handler() {
  return [d = d_](const HttpRequest& request, HttpExchange& exchange) {
    return d->Handle(request, exchange);
  };
}

asio::awaitable<void> ServiceStandIn::Private::Handle(
    const HttpRequest& request,
    HttpExchange& exchange) {
  if (co_await HandleFaultRequest(faults, request, exchange))
    co_return;
  if (request.target == "/stats") {
    co_await exchange.Send(
        JsonResponse(200, json::serialize(json::value_from(executions))));
    co_return;
  }
  if (!co_await PassFaults(faults, request, exchange))
    co_return;
  if (request.target == "/healthz") {
    co_await exchange.Send(JsonResponse(200, "{\"healthy\":true}"));
    co_return;
  }
  const std::string key = AccountOf(request);
  const std::int64_t n = ++executions[key];
  if (request.method != "GET" && faults.lose_write_answers > 0) {
    --faults.lose_write_answers;
    exchange.Abort();
    co_return;
  }
  json::object answer = {
      {"key", key}, {"path", request.target}, {"execution", n}};
  HttpResponse response = JsonResponse(200, json::serialize(answer));
  std::string id(request.headers.Get("X-Request-Id"));
  if (faults.wrong_id)
    id = "other";
  response.headers.Add("X-Request-Id", id);
  co_await exchange.Send(response);
}

}  // namespace turmericwinch
