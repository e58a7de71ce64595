// A store that lists its objects in pages, by the name after which a page
// begins, as the platform's store does.

#ifndef TESTS_ADAPTER_PAGED_STORE_H_
#define TESTS_ADAPTER_PAGED_STORE_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <string>
#include <string_view>

#include "libs/http/http_server.h"

namespace turmericwinch::platform {

class PagedStore {
 public:
  explicit PagedStore(boost::asio::io_context& context)
      : server_({&context},
                {kHttpMostBodyBytes, 16},
                [this](const HttpRequest& request, HttpExchange& exchange) {
                  return Handle(request, exchange);
                }),
        endpoint(
            *server_.Listen({boost::asio::ip::make_address("127.0.0.1"), 0},
                            nullptr)) {}

  // JSON text of each object of every kind, by the object's name.
  std::map<std::string, std::string> objects;
  // Objects on a page.
  std::size_t page_size = 2;
  // Answer to a call for one object.
  std::string object;
  // Answer to a watch.
  std::string events = R"({"events":[],"at":9})";
  // Ends a client that asks for the same page again and again.
  int calls_left = 50;

 private:
  // Slashes of "/api/objects/KIND".
  static constexpr std::size_t kSlashesOfKindPath = 3;

  boost::asio::awaitable<void> Handle(const HttpRequest& request,
                                      HttpExchange& exchange) {
    const std::string_view target = request.target;
    const std::size_t path_parts =
        std::count(target.begin(), target.end(), '/');
    if (calls_left-- <= 0)
      co_await exchange.Send(JsonResponse(500, ""));
    else if (path_parts > kSlashesOfKindPath)
      co_await exchange.Send(JsonResponse(200, object));
    else if (target.find("watch=") != std::string_view::npos)
      co_await exchange.Send(JsonResponse(200, events));
    else
      co_await exchange.Send(
          JsonResponse(200, Page(QueryParameter(target, "since_revision"))));
  }

  std::string Page(const std::string& after) const {
    std::string body = R"({"items":[)";
    std::size_t n = 0;
    auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
    for (; it != objects.end() && n < page_size; ++it, ++n)
      body += (n > 0 ? "," : "") + it->second;
    return body + R"(],"has_more":)" +
           (it == objects.end() ? "false" : "true") + R"(,"at":9})";
  }

  HttpServer server_;

 public:
  boost::asio::ip::tcp::endpoint endpoint;
};

}  // namespace turmericwinch::platform

#endif  // TESTS_ADAPTER_PAGED_STORE_H_
