#include "libs/http/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <charconv>

#include "libs/http/http_connection.h"
#include "libs/http/http_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using http_internal::HttpConnection;
using http_internal::MakeFailure;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Whether the peer closed `socket` or sent bytes without a request.
bool IsStale(tcp::socket& socket) {
  char probe = 0;
  ssize_t n =
      ::recv(socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string Serialize(const tcp::endpoint& endpoint,
                      const HttpRequest& request) {
  std::string buf = request.method;
  buf += ' ';
  buf += request.target;
  buf += " HTTP/1.1\r\n";
  if (!request.headers.Has("Host")) {
    buf += "Host: ";
    buf += ToText(endpoint);
    buf += "\r\n";
  }
  for (const auto& [name, value] : request.headers.fields()) {
    buf += name;
    buf += ": ";
    buf += value;
    buf += "\r\n";
  }
  if (!request.body.empty() || request.method != "GET") {
    buf += "Content-Length: ";
    buf += std::to_string(request.body.size());
    buf += "\r\n";
  }
  buf += "\r\n";
  buf += request.body;
  return buf;
}

// Idle time from the peer's "Keep-Alive: timeout=SECONDS" header, less one
// second, because the peer may close the connection while a request is on its
// way.
std::chrono::milliseconds ParseMaxIdleTime(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  constexpr std::chrono::milliseconds kCloseRaceMargin{1'000};
  const std::string_view text = headers.Get("Keep-Alive");
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos)
    return kHttpPoolIdle;
  int seconds = 0;
  const std::string_view digits = text.substr(at + kTimeout.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const std::chrono::milliseconds promised = std::chrono::seconds(seconds);
  return std::clamp<std::chrono::milliseconds>(
      promised - kCloseRaceMargin, std::chrono::milliseconds(0), kHttpPoolIdle);
}

// Makes the kernel close the connection to an unresponsive peer after `time`.
void EnableDeadPeerDetection(tcp::socket& socket,
                             std::chrono::milliseconds time) {
  constexpr int kProbes = 2;
  const int timeout_ms = static_cast<int>(time.count());
  const int interval = std::max(1, timeout_ms / 1000 / (kProbes + 1));
  const int on = 1;
  const int fd = socket.native_handle();
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

// Attaches an HttpCancel to a connection for the duration of a call.
class CancelScope {
 public:
  CancelScope(HttpCancel* cancel, SocketDeadline& deadline) : cancel_(cancel) {
    if (cancel_)
      cancel_->Attach(&deadline);
  }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;
  ~CancelScope() {
    if (cancel_)
      cancel_->Attach(nullptr);
  }
  bool cancelled() const { return cancel_ && cancel_->cancelled(); }
  // Keeps the connection attached; its HttpStream detaches it.
  void Release() { cancel_ = nullptr; }

 private:
  HttpCancel* cancel_;
};

// Reads and discards the rest of a response. Returns false if only the close of
// the connection ends the response, if the connection failed, or if the
// response is longer than kHttpMostBodyBytes.
asio::awaitable<bool> DiscardBody(HttpConnection& connection,
                                  http_internal::Parser& parser) {
  if (parser.need_eof())
    co_return false;
  std::size_t discarded = 0;
  while (!parser.is_done()) {
    char buf[kHttpReadBytes];
    auto& body = parser.get().body();
    body.data = buf;
    body.size = sizeof(buf);
    body.more = true;
    auto [ec, n] = co_await http::async_read_some(
        connection.socket, connection.buf, parser, kAwait);
    discarded += n;
    if ((ec && ec != http::error::need_buffer) ||
        discarded > kHttpMostBodyBytes)
      co_return false;
  }
  co_return true;
}

}  // namespace

HttpClient::Private::Connection HttpClient::Private::TakeIdleConnection(
    const tcp::endpoint& endpoint) {
  auto it = idle.find(endpoint);
  if (it == idle.end())
    return nullptr;
  const auto now = std::chrono::steady_clock::now();
  while (!it->second.empty()) {
    Connection connection = std::move(it->second.back());
    it->second.pop_back();
    const bool fresh = now - connection->idle_since <
                           std::min(connection->max_idle_time, max_idle_time) &&
                       now < connection->renew_at;
    if (fresh && !IsStale(connection->socket))
      return connection;
  }
  idle.erase(it);
  return nullptr;
}

void HttpClient::Private::ReturnToPool(const tcp::endpoint& endpoint,
                                       Connection connection) {
  connection->deadline.ExpiresNever();
  // Bytes after the end of the response belong to no request.
  if (connection->buf.size() > 0)
    return;
  connection->idle_since = std::chrono::steady_clock::now();
  if (connection->idle_since >= connection->renew_at)
    return;
  std::deque<Connection>& pool = idle[endpoint];
  while (!pool.empty() &&
         connection->idle_since - pool.front()->idle_since >= kHttpPoolIdle)
    pool.pop_front();
  pool.push_back(std::move(connection));
}

HttpClient::HttpClient(asio::io_context& context,
                       std::chrono::milliseconds max_age)
    : d_(std::make_shared<Private>(context, max_age)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<std::unique_ptr<HttpStream>> HttpClient::Open(
    tcp::endpoint endpoint,
    const HttpRequest& request,
    const HttpCallOptions& options,
    HttpFailure* failure) {
  auto d = d_;
  const HttpTimeouts timeouts = options.timeouts;
  Private::Connection connection = d->TakeIdleConnection(endpoint);
  const bool is_new = !connection;
  if (is_new)
    connection = std::make_unique<HttpConnection>(d->context);
  CancelScope scope(options.cancel, connection->deadline);
  if (scope.cancelled()) {
    *failure = {HttpPhase::kConnect, false, false, "the call was cancelled"};
    co_return nullptr;
  }
  if (is_new) {
    connection->deadline.ExpiresAfter(timeouts.connect);
    auto [ec] = co_await connection->socket.async_connect(endpoint, kAwait);
    if (ec || scope.cancelled()) {
      *failure = MakeFailure(HttpPhase::kConnect, false, *connection, ec);
      co_return nullptr;
    }
    if (d->unresponsive_peer_timeout.count() > 0)
      EnableDeadPeerDetection(connection->socket, d->unresponsive_peer_timeout);
    connection->renew_at =
        std::chrono::steady_clock::now() +
        RenewalAge(d->max_age, static_cast<std::uint32_t>(d->random()));
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
  }
  const std::string message = Serialize(endpoint, request);
  connection->deadline.ExpiresAfter(timeouts.first_byte);
  // Most messages fit the socket buffer and need no pass through the scheduler.
  boost::system::error_code write_ec;
  std::size_t written =
      connection->socket.write_some(asio::buffer(message), write_ec);
  if (write_ec == asio::error::would_block)
    write_ec.clear();
  if (!write_ec && written < message.size()) {
    auto [rest_ec, n] = co_await asio::async_write(
        connection->socket, asio::buffer(message) + written, kAwait);
    write_ec = rest_ec;
    written += n;
  }
  if (write_ec) {
    *failure =
        MakeFailure(HttpPhase::kSend, written != 0, *connection, write_ec);
    co_return nullptr;
  }
  auto stream = std::make_unique<HttpStream::Private>();
  stream->client = d;
  stream->endpoint = endpoint;
  stream->connection = std::move(connection);
  stream->cancel = options.cancel;
  const auto first_byte_deadline =
      std::chrono::steady_clock::now() + timeouts.first_byte;
  for (int skipped = 0;; ++skipped) {
    HttpConnection& used = *stream->connection;
    stream->parser.emplace();
    stream->parser->header_limit(kHttpMostHeaderBytes);
    stream->parser->body_limit(boost::none);
    stream->headers = HttpHeaders();
    if (!scope.cancelled()) {
      used.deadline.ExpiresAfter(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              first_byte_deadline - std::chrono::steady_clock::now()));
    }
    auto [ec, n] = co_await http::async_read_header(used.socket, used.buf,
                                                    *stream->parser, kAwait);
    if (ec || scope.cancelled()) {
      *failure = MakeFailure(HttpPhase::kFirstByte, true, used, ec);
      co_return nullptr;
    }
    const unsigned status = stream->parser->get().result_int();
    if (status < kHttpMinFinalStatus || status > kHttpMaxStatus) {
      *failure = {HttpPhase::kFirstByte, true, false,
                  "the response has the status " + std::to_string(status) +
                      ", which is not the status of a final response"};
      co_return nullptr;
    }
    for (const auto& it : stream->parser->get()) {
      stream->headers.Add(std::string(it.name_string()),
                          std::string(it.value()));
    }
    if (!options.matches_request || options.matches_request(stream->headers))
      break;
    bool discarded = false;
    if (skipped < kHttpMaxSkippedResponses)
      discarded = co_await DiscardBody(used, *stream->parser);
    if (!discarded) {
      *failure = {HttpPhase::kFirstByte, true, false,
                  "the response belongs to another request"};
      co_return nullptr;
    }
  }
  stream->connection->max_idle_time = ParseMaxIdleTime(stream->headers);
  scope.Release();
  co_return std::make_unique<HttpStream>(std::move(stream));
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::Call(
    tcp::endpoint endpoint,
    const HttpRequest& request,
    const HttpCallOptions& options,
    HttpFailure* failure) {
  const HttpTimeouts timeouts = options.timeouts;
  std::unique_ptr<HttpStream> stream =
      co_await Open(endpoint, request, options, failure);
  if (!stream)
    co_return std::nullopt;
  HttpResponse response;
  response.status = stream->status();
  response.headers = stream->headers();
  while (!stream->done()) {
    std::optional<std::string> piece =
        co_await stream->ReadSome(timeouts.between_bytes, failure);
    if (!piece)
      co_return std::nullopt;
    if (response.body.size() + piece->size() > kHttpMostBodyBytes) {
      *failure = {HttpPhase::kBody, true, false,
                  "the response body exceeds " +
                      std::to_string(kHttpMostBodyBytes) + " bytes"};
      co_return std::nullopt;
    }
    response.body += *piece;
  }
  co_return response;
}

void HttpClient::SetUnresponsivePeerTimeout(std::chrono::milliseconds time) {
  d_->unresponsive_peer_timeout = time;
}

void HttpClient::SetMaxIdleTime(std::chrono::milliseconds time) {
  d_->max_idle_time = time;
}

void HttpClient::CloseIdleConnections(const tcp::endpoint& endpoint) {
  d_->idle.erase(endpoint);
}

std::size_t HttpClient::IdleConnections() const {
  std::size_t n = 0;
  for (const auto& [endpoint, pool] : d_->idle)
    n += pool.size();
  return n;
}

std::chrono::milliseconds RenewalAge(std::chrono::milliseconds max_age,
                                     std::uint32_t random) {
  const std::chrono::milliseconds half = max_age / 2;
  return half + std::chrono::milliseconds(random % (half.count() + 1));
}

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code ec;
  auto address = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  unsigned port = 0;
  std::string_view digits = text.substr(colon + 1);
  auto [last, parsed] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || parsed != std::errc() || last != digits.data() + digits.size() ||
      port > 65535)
    return std::nullopt;
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

std::string ToText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace turmericwinch
