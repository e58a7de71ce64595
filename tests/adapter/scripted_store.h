// A store whose responses a test writes.

#ifndef TESTS_ADAPTER_SCRIPTED_STORE_H_
#define TESTS_ADAPTER_SCRIPTED_STORE_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libs/http/http_server.h"
#include "libs/platform/platform_limiter.h"

namespace turmericwinch::platform {

inline constexpr PlatformRates kRates{100'000, 100'000};

// A store that answers each call with the next scripted response and records
// the calls. A status of 0 closes the connection without a response.
class ScriptedStore {
 public:
  explicit ScriptedStore(boost::asio::io_context& context)
      : server_({&context},
                {kHttpMostBodyBytes, 16},
                [this](const HttpRequest& request, HttpExchange& exchange) {
                  return Handle(request, exchange);
                }),
        endpoint(
            *server_.Listen({boost::asio::ip::make_address("127.0.0.1"), 0},
                            nullptr)) {}

  void AddResponse(int status, std::string body) {
    script_.emplace_back(status, std::move(body));
  }

  // Answers with the list of `items`, objects separated by commas, at a
  // revision of the store.
  void AddList(const std::string& items, std::uint64_t at) {
    AddResponse(200, R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
                         std::to_string(at) + "}");
  }

  // Rises each time that the store comes back from an old copy; 0 if it says
  // none.
  std::uint64_t era = 0;
  std::vector<std::string> calls;
  std::vector<std::string> bodies;

 private:
  boost::asio::awaitable<void> Handle(const HttpRequest& request,
                                      HttpExchange& exchange) {
    calls.push_back(request.method + " " + request.target);
    bodies.push_back(request.body);
    std::pair<int, std::string> next{500, ""};
    if (!script_.empty()) {
      next = script_.front();
      script_.erase(script_.begin());
    }
    if (next.first == 0) {
      exchange.Abort();
      co_return;
    }
    HttpResponse response = JsonResponse(next.first, next.second);
    if (era > 0)
      response.headers.Add("Store-Era", std::to_string(era));
    co_await exchange.Send(response);
  }

  std::vector<std::pair<int, std::string>> script_;
  HttpServer server_;

 public:
  boost::asio::ip::tcp::endpoint endpoint;
};

inline std::string Object(const std::string& name,
                          std::uint64_t revision,
                          const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) + R"(},"spec":)" + spec +
         R"(,"status":null})";
}

// The content of a target's registration.
inline std::string Target(const std::string& zone) {
  return R"({"service":"llm","address":"10.0.0.1:1","zone":")" + zone +
         R"(","state":"ready","born":5})";
}

}  // namespace turmericwinch::platform

#endif  // TESTS_ADAPTER_SCRIPTED_STORE_H_
