#include <boost/asio.hpp>
#include <set>

#include "libs/http/http_client.h"
#include "libs/http/http_server.h"

#include <CppUTest/TestHarness.h>

#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kCalls = 5;

// How many connections a client needs for kCalls calls, one after another.
std::size_t ConnectionsUsed(std::chrono::milliseconds most_age) {
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
  HttpClient client(context, most_age);
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

TEST(ConnectionRenewal, ConnectionsAreReusedUntilTheirAge) {
  LONGS_EQUAL(1, ConnectionsUsed(std::chrono::hours(1)));
  LONGS_EQUAL(kCalls, ConnectionsUsed(std::chrono::milliseconds(0)));
}

TEST(ConnectionRenewal, AgesAreSpreadOverTheLaterHalf) {
  constexpr std::chrono::milliseconds kMost{1'000};
  std::set<std::chrono::milliseconds> ages;
  for (std::uint32_t n = 0; n < 10'000; ++n) {
    const std::chrono::milliseconds age = RenewalAge(kMost, n);
    CHECK(age >= kMost / 2);
    CHECK(age <= kMost);
    ages.insert(age);
  }
  LONGS_EQUAL(501, ages.size());
}

}  // namespace turmericwinch
