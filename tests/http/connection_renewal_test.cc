#include <boost/asio.hpp>
#include <set>

#include "libs/http/http_client.h"
#include "libs/http/http_constants.h"
#include "libs/http/http_server.h"

#include <CppUTest/TestHarness.h>

#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kCalls = 5;

// Number of connections that a client opens for kCalls consecutive calls.
std::size_t CountConnections(std::chrono::milliseconds max_age,
                             std::chrono::milliseconds max_idle_time) {
  asio::io_context context{1};
  std::set<std::uint64_t> connections;
  HttpServer server(
      {&context}, HttpServerLimits{1024, 16},
      [&connections](const HttpRequest&,
                     HttpExchange& exchange) -> asio::awaitable<void> {
        connections.insert(exchange.connection_number());
        HttpResponse response = JsonResponse(200, "{}");
        co_await exchange.Send(response);
      });
  const asio::ip::tcp::endpoint endpoint =
      *server.Listen({asio::ip::make_address("127.0.0.1"), 0}, nullptr);
  HttpClient client(context, max_age);
  client.SetMaxIdleTime(max_idle_time);
  for (int n = 0; n < kCalls; ++n) {
    HttpFailure failure;
    HttpRequest request;
    std::optional<HttpResponse> response = RunCoroutine(
        context, client.Call(endpoint, request, HttpTimeouts(), &failure));
    CHECK(response.has_value());
  }
  server.StopAccepting();
  return connections.size();
}

}  // namespace

TEST_GROUP(ConnectionRenewal){};

TEST(ConnectionRenewal, ReusesConnectionsUntilTheirMaxAge) {
  LONGS_EQUAL(1, CountConnections(std::chrono::hours(1), kHttpPoolIdle));
  LONGS_EQUAL(kCalls,
              CountConnections(std::chrono::milliseconds(0), kHttpPoolIdle));
}

// A connection that was idle for long may have gone silent.
TEST(ConnectionRenewal, OpensAConnectionAfterTheMaxIdleTime) {
  LONGS_EQUAL(kCalls, CountConnections(std::chrono::hours(1),
                                       std::chrono::milliseconds(0)));
}

TEST(ConnectionRenewal, SpreadsAgesBetweenHalfAndMaxAge) {
  constexpr std::chrono::milliseconds kMaxAge{1'000};
  std::set<std::chrono::milliseconds> ages;
  for (std::uint32_t n = 0; n < 10'000; ++n) {
    const std::chrono::milliseconds age = RenewalAge(kMaxAge, n);
    CHECK(age >= kMaxAge / 2);
    CHECK(age <= kMaxAge);
    ages.insert(age);
  }
  LONGS_EQUAL(501, ages.size());
}

}  // namespace turmericwinch
