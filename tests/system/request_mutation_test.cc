// Mutated requests over real sockets: the server answers or closes, and what
// reads bodies survives.

#include <boost/asio.hpp>
#include <random>
#include <string>

#include "libs/http/http_client.h"
#include "libs/http/http_server.h"
#include "libs/node/chat_request.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned kSeeds = 3'000;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostConnections = 100;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

const char* const kRequests[] = {
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    "Content-Length: 75\r\nX-Request-Id: r\r\n\r\n"
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"Which?"}]})",
    "POST /services/drawer-app/checkouts/7 HTTP/1.1\r\nHost: a\r\n"
    "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\n{\"a\":\r\n2\r\n1}\r\n0\r\n\r\n",
    "GET /services/drawer-app/drawers/7?x=%41 HTTP/1.1\r\nHost: a\r\n\r\n",
};

std::string Mutate(std::string text, std::mt19937& random) {
  for (auto n = random() % 5; n > 0 && !text.empty(); --n) {
    const std::size_t at = random() % text.size();
    const auto kind = random() % 4;
    if (kind == 0)
      text[at] = static_cast<char>(random());
    else if (kind == 1)
      text.erase(at, random() % 12);
    else if (kind == 2)
      text.insert(at, text.substr(random() % text.size(), random() % 40));
    else
      text.resize(at);
  }
  return text;
}

// Sends `text` in two pieces and answers all that comes back.
asio::awaitable<std::string> Exchange(tcp::endpoint endpoint,
                                      std::string text,
                                      std::size_t cut) {
  tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(endpoint, kAwait);
  co_await asio::async_write(socket, asio::buffer(text.data(), cut), kAwait);
  co_await asio::async_write(
      socket, asio::buffer(text.data() + cut, text.size() - cut), kAwait);
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::string answer;
  co_await asio::async_read(socket, asio::dynamic_buffer(answer), kAwait);
  co_return answer;
}

}  // namespace

TEST_GROUP(RequestMutation){};

TEST(RequestMutation, TheServerAnswersOrCloses) {
  asio::io_context context(1);
  int handled = 0;
  HttpServer server(
      {&context}, {kMostBody, kMostConnections},
      [&handled](const HttpRequest& request,
                 HttpExchange& exchange) -> asio::awaitable<void> {
        ++handled;
        Reason reason;
        std::optional<ChatRequest> chat =
            ParseChatRequest(request.body, &reason);
        QueryParameter(request.target, "x");
        HttpResponse response = JsonResponse(chat ? 200 : 400, "{}");
        co_await exchange.Send(response);
      });
  Reason reason;
  auto endpoint = server.Listen(*ParseEndpoint("127.0.0.1:0"), &reason);
  CHECK(endpoint.has_value());
  int answered = 0;
  auto run = [&]() -> asio::awaitable<void> {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      std::string text = Mutate(kRequests[seed % 3], random);
      const std::size_t cut = text.empty() ? 0 : random() % text.size();
      std::string answer = co_await Exchange(*endpoint, text, cut);
      const bool sound = answer.empty() || answer.starts_with("HTTP/1.1 ");
      CHECK_TEXT(sound, std::to_string(seed).c_str());
      answered += answer.empty() ? 0 : 1;
    }
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  CHECK(handled > 0);
  CHECK(answered > handled);
  LONGS_EQUAL(0, server.ActiveRequests());
}

}  // namespace turmericwinch
