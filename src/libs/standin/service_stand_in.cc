#include "libs/standin/service_stand_in.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <map>

#include "libs/standin/fault_switches.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

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
  std::string key(request.headers.Get("Idempotency-Key"));
  if (key.empty())
    key = std::string(request.headers.Get("X-Request-Id"));
  const std::int64_t n = ++executions[key];
  if (request.method != "GET" && faults.lose_write_answers > 0) {
    --faults.lose_write_answers;
    exchange.Abort();
    co_return;
  }
  json::object answer = {
      {"key", key}, {"path", request.target}, {"execution", n}};
  co_await exchange.Send(JsonResponse(200, json::serialize(answer)));
}

}  // namespace turmericwinch
