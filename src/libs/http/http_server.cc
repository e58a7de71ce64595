#include "libs/http/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <set>

#include "libs/base/log.h"
#include "libs/http/http_constants.h"
#include "libs/http/http_exchange_private.h"
#include "libs/http/socket_deadline.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr LogCategory kLog{"http"};
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

std::atomic<std::uint64_t> last_connection{0};

HttpRequest ToRequest(http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& it : message)
    request.headers.Add(std::string(it.name_string()), std::string(it.value()));
  request.body = std::move(message.body());
  return request;
}

HttpResponse MakeErrorResponse(ResultCode code, std::string_view text) {
  boost::json::object error = {
      {"code", static_cast<int>(code)},
      {"name", NameOf(code)},
      {"message", text},
      {"ran", NameOf(RanState::kNotRun)},
  };
  return JsonResponse(
      InfoOf(code).http_status,
      boost::json::serialize(boost::json::object{{"error", error}}));
}

// Maximum bytes of a request that are buffered before they can be parsed. The
// parser limits the header block itself, but buffers trailers and chunk headers
// until they are complete. Bytes already in the buffer stay.
std::size_t MaxBufferedBytes(const HttpServerLimits& limits,
                             const beast::flat_buffer& buf) {
  return std::max({kHttpMaxBufferedBytes,
                   limits.most_header_bytes + kHttpReadBytes, buf.size()});
}

// Error response to a request that could not be read; nullopt if the caller
// only closed its connection.
std::optional<HttpResponse> MakeReadErrorResponse(const beast::error_code& ec,
                                                  bool timed_out) {
  if (ec == http::error::body_limit)
    return MakeErrorResponse(ResultCode::kTooLarge,
                             "the request body exceeds the size limit");
  if (ec == http::error::header_limit)
    return MakeErrorResponse(ResultCode::kTooLarge,
                             "the request header exceeds the size limit");
  if (ec == http::error::buffer_overflow)
    return MakeErrorResponse(
        ResultCode::kTooLarge,
        "the trailers or a chunk header exceed the size limit");
  if (timed_out)
    return MakeErrorResponse(
        ResultCode::kRequestTimeout,
        "the request did not arrive before the read deadline");
  if (ec.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message)
    return MakeErrorResponse(
        ResultCode::kBadRequest,
        "the request is not well-formed HTTP/1.1: " + ec.message());
  if (ec == http::error::partial_message)
    return MakeErrorResponse(
        ResultCode::kBadRequest,
        "the connection was closed before the request was complete");
  return std::nullopt;
}

}  // namespace

// Shared by the accept loop and all connections.
class HttpServer::Private {
 public:
  Private(std::vector<asio::io_context*> contexts,
          HttpServerLimits limits,
          HttpHandler handler)
      : contexts(std::move(contexts)),
        limits(limits),
        handler(std::move(handler)),
        acceptor(*this->contexts.front()) {}

  static asio::awaitable<void> AcceptLoop(std::shared_ptr<Private> d);
  static asio::awaitable<void> Serve(std::shared_ptr<Private> d,
                                     tcp::socket socket,
                                     std::size_t thread_index);

  HttpServerLimits Limits() const {
    std::lock_guard lock(mutex);
    return limits;
  }

  void SetIdle(tcp::socket* socket, bool is_idle) {
    std::lock_guard lock(mutex);
    if (is_idle)
      idle.insert(socket);
    else
      idle.erase(socket);
  }

  std::vector<asio::io_context*> contexts;
  mutable std::mutex mutex;
  HttpServerLimits limits;
  HttpHandler handler;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing{false};
  // Connections that are waiting for a request; CloseIdle() cancels them.
  std::set<tcp::socket*> idle;
  std::atomic<std::size_t> active{0};
  std::atomic<std::size_t> connections{0};
};

HttpServer::HttpServer(std::vector<asio::io_context*> contexts,
                       HttpServerLimits limits,
                       HttpHandler handler)
    : d_(std::make_shared<Private>(std::move(contexts),
                                   limits,
                                   std::move(handler))) {}

HttpServer::~HttpServer() {
  StopAccepting();
}

std::optional<tcp::endpoint> HttpServer::Listen(const tcp::endpoint& endpoint,
                                                Reason* reason) {
  boost::system::error_code ec;
  tcp::acceptor& acceptor = d_->acceptor;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return Fail(reason, ResultCode::kSettingsInvalid,
                "cannot listen on " + endpoint.address().to_string() + ":" +
                    std::to_string(endpoint.port()) + ": " + ec.message());
  }
  asio::co_spawn(acceptor.get_executor(), Private::AcceptLoop(d_),
                 asio::detached);
  return acceptor.local_endpoint();
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  std::lock_guard lock(d_->mutex);
  d_->limits = limits;
}

void HttpServer::CloseAfterResponses() {
  d_->closing = true;
}

void HttpServer::CloseIdle() {
  std::lock_guard lock(d_->mutex);
  for (tcp::socket* it : d_->idle) {
    boost::system::error_code ignored;
    it->cancel(ignored);
  }
}

void HttpServer::StopAccepting() {
  if (d_->stopping.exchange(true))
    return;
  asio::post(d_->acceptor.get_executor(), [d = d_] {
    boost::system::error_code ec;
    d->acceptor.close(ec);
  });
}

std::size_t HttpServer::ActiveRequests() const {
  return d_->active;
}

std::size_t HttpServer::Connections() const {
  return d_->connections;
}

asio::awaitable<void> HttpServer::Private::AcceptLoop(
    std::shared_ptr<Private> d) {
  for (std::size_t n = 0; !d->stopping; n = (n + 1) % d->contexts.size()) {
    auto [ec, socket] =
        co_await d->acceptor.async_accept(*d->contexts[n], kAwait);
    if (d->stopping)
      break;
    if (ec) {
      LogEvent(kLog, Severity::kWarning, "accept_failed",
               {{"error", ec.message()}});
      asio::steady_timer timer(d->acceptor.get_executor(), kAcceptRetryDelay);
      co_await timer.async_wait(kAwait);
      continue;
    }
    if (d->connections >= d->limits.most_connections)
      continue;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    auto executor = socket.get_executor();
    asio::co_spawn(executor, Serve(d, std::move(socket), n), asio::detached);
  }
}

asio::awaitable<void> HttpServer::Private::Serve(std::shared_ptr<Private> d,
                                                 tcp::socket socket,
                                                 std::size_t thread_index) {
  ++d->connections;
  const std::uint64_t connection = ++last_connection;
  SocketDeadline deadline(socket);
  beast::flat_buffer buf;
  bool keep_alive = true;
  while (keep_alive && !d->stopping) {
    const HttpServerLimits limits = d->Limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.most_header_bytes);
    parser.body_limit(limits.most_body_bytes);
    buf.max_size(MaxBufferedBytes(limits, buf));
    if (buf.size() == 0) {
      deadline.ExpiresAfter(limits.idle_timeout);
      d->SetIdle(&socket, true);
      auto [ec, n] =
          co_await socket.async_read_some(buf.prepare(kHttpReadBytes), kAwait);
      d->SetIdle(&socket, false);
      if (ec)
        break;
      buf.commit(n);
    }
    deadline.ExpiresAfter(std::min(limits.header_timeout, limits.read_timeout));
    auto [ec, n] =
        co_await http::async_read_header(socket, buf, parser, kAwait);
    if (!ec && !parser.is_done()) {
      deadline.ExpiresAfter(limits.read_timeout);
      auto [body_ec, body_n] =
          co_await http::async_read(socket, buf, parser, kAwait);
      ec = body_ec;
    }
    HttpExchange::Private exchange_state(socket, deadline, !ec, thread_index);
    exchange_state.connection = connection;
    HttpExchange exchange(&exchange_state);
    if (ec) {
      const bool timed_out = deadline.expired();
      std::optional<HttpResponse> error_response =
          MakeReadErrorResponse(ec, timed_out);
      if (error_response)
        co_await exchange.Send(*error_response);
      break;
    }
    exchange_state.keep_alive = parser.get().keep_alive() && !d->closing;
    HttpRequest request = ToRequest(parser.get());
    deadline.ExpiresNever();
    ++d->active;
    try {
      co_await d->handler(request, exchange);
    } catch (const std::exception& error) {
      LogEvent(kLog, Severity::kError, "handler_failed",
               {{"target", request.target}, {"error", error.what()}});
      exchange_state.keep_alive = false;
      if (exchange_state.started)
        exchange_state.ended = true;
    }
    if (!exchange_state.started)
      co_await exchange.Send(MakeErrorResponse(
          ResultCode::kInternal, "the request handler sent no response"));
    --d->active;
    exchange_state.StopWatchingCaller();
    if (d->closing)
      exchange_state.keep_alive = false;
    keep_alive = exchange_state.keep_alive && exchange_state.ended;
  }
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  --d->connections;
}

}  // namespace turmericwinch
