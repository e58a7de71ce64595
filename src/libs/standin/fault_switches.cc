#include "libs/standin/fault_switches.h"

#include <boost/asio.hpp>
#include <boost/json/array.hpp>
#include <cstdlib>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kSilenceCheck{10};
constexpr int kCrashExit = 70;

asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

bool IsSilent(const FaultSwitches& faults, const HttpExchange& exchange) {
  return faults.silent || (faults.silent_open &&
                           exchange.connection_number() < faults.silent_below);
}

}  // namespace

std::optional<FaultSwitches> FaultSwitchesOf(std::string_view text) {
  std::optional<boost::json::value> value = ParseJson(text);
  const boost::json::object* object = value ? value->if_object() : nullptr;
  if (!object)
    return std::nullopt;
  FaultSwitches faults;
  faults.down = BoolField(*object, "down").value_or(false);
  faults.leaving = BoolField(*object, "leaving").value_or(false);
  faults.silent = BoolField(*object, "silent").value_or(false);
  faults.silent_open = BoolField(*object, "silent_open").value_or(false);
  if (const boost::json::array* domains = ArrayField(*object, "cut")) {
    for (const boost::json::value& it : *domains) {
      if (it.is_string())
        faults.cut.emplace(it.get_string());
    }
  }
  faults.lag_hosts_ms = IntField(*object, "lag_hosts_ms").value_or(0);
  faults.delay_ms = IntField(*object, "delay_ms").value_or(0);
  faults.lose_write_answers =
      IntField(*object, "lose_write_answers").value_or(0);
  faults.wrong_id = BoolField(*object, "wrong_id").value_or(false);
  faults.crash_on = StringField(*object, "crash_on").value_or("");
  return faults;
}

asio::awaitable<bool> HandleFaultRequest(FaultSwitches& faults,
                                         const HttpRequest& request,
                                         HttpExchange& exchange) {
  if (request.target != "/faults" || request.method != "PUT")
    co_return false;
  std::optional<FaultSwitches> read = FaultSwitchesOf(request.body);
  if (read) {
    faults = *read;
    faults.silent_below = exchange.connection_number();
  }
  HttpResponse response = JsonResponse(read ? 200 : 400, "{}");
  co_await exchange.Send(response);
  co_return true;
}

asio::awaitable<bool> PassFaults(const FaultSwitches& faults,
                                 const HttpRequest& request,
                                 HttpExchange& exchange) {
  if (!faults.crash_on.empty() &&
      request.body.find(faults.crash_on) != std::string::npos)
    std::_Exit(kCrashExit);
  const bool silent = IsSilent(faults, exchange);
  while (IsSilent(faults, exchange) && !exchange.CallerGone())
    co_await Sleep(kSilenceCheck);
  if (faults.down || silent) {
    exchange.Abort();
    co_return false;
  }
  if (faults.delay_ms > 0)
    co_await Sleep(std::chrono::milliseconds(faults.delay_ms));
  if (faults.leaving) {
    HttpResponse response = JsonResponse(503, "{}");
    response.headers.Add("X-Leaving", "true");
    co_await exchange.Send(response);
  }
  co_return !faults.leaving;
}

asio::awaitable<bool> PassCut(const FaultSwitches& faults,
                              const std::string& domain,
                              HttpExchange& exchange) {
  if (!faults.cut.contains(domain))
    co_return true;
  while (faults.cut.contains(domain) && !exchange.CallerGone())
    co_await Sleep(kSilenceCheck);
  exchange.Abort();
  co_return false;
}

}  // namespace turmericwinch
