#include "libs/http/http_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "libs/http/http_connection.h"
#include "libs/http/http_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Whether the peer received the whole request and ended the connection in
// order. Only the end of the connection ends a body that has neither a length
// nor chunks, and the kernel reports a reset that follows a FIN as a plain end
// of the data. A peer that resets, or ends while the request is still being
// sent, may not have sent its whole response.
bool HasEndedInOrder(asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  int unacknowledged_bytes = 0;
  // A system that can't tell must not make every such response fail.
  if (::ioctl(fd, SIOCOUTQ, &unacknowledged_bytes) == 0 &&
      unacknowledged_bytes != 0)
    return false;
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state != TCP_CLOSE;
}

}  // namespace

HttpStream::HttpStream(std::unique_ptr<Private> d) : d_(std::move(d)) {}

HttpStream::~HttpStream() {
  if (d_->cancel)
    d_->cancel->Attach(nullptr);
}

int HttpStream::status() const {
  return static_cast<int>(d_->parser->get().result_int());
}

const HttpHeaders& HttpStream::headers() const {
  return d_->headers;
}

bool HttpStream::done() const {
  return d_->done;
}

asio::awaitable<std::optional<std::string>> HttpStream::ReadSome(
    std::chrono::milliseconds timeout,
    HttpFailure* failure) {
  if (d_->done)
    co_return std::string();
  std::string piece;
  // Bytes of chunk headers and trailers since the last bytes of the body.
  std::size_t framing_bytes = 0;
  auto& body = d_->parser->get().body();
  while (!d_->parser->is_done()) {
    char buf[kHttpReadBytes];
    body.data = buf;
    body.size = sizeof(buf);
    body.more = true;
    if (d_->cancel && d_->cancel->cancelled()) {
      *failure = {HttpPhase::kBody, true, false, "the call was cancelled"};
      d_->cancel->Attach(nullptr);
      d_->connection.reset();
      co_return std::nullopt;
    }
    d_->connection->deadline.ExpiresAfter(timeout);
    auto [ec, n] = co_await http::async_read_some(
        d_->connection->socket, d_->connection->buf, *d_->parser,
        asio::as_tuple(asio::use_awaitable));
    piece.append(buf, sizeof(buf) - body.size);
    if (ec && ec != http::error::need_buffer) {
      *failure = http_internal::MakeFailure(HttpPhase::kBody, true,
                                            *d_->connection, ec);
      if (d_->cancel)
        d_->cancel->Attach(nullptr);
      d_->connection.reset();
      co_return std::nullopt;
    }
    if (!piece.empty())
      co_return piece;
    framing_bytes += n;
    if (framing_bytes > kHttpMostHeaderBytes) {
      *failure = {HttpPhase::kBody, true, false,
                  "the response has more than " +
                      std::to_string(kHttpMostHeaderBytes) +
                      " bytes of chunk headers and trailers in a row"};
      if (d_->cancel)
        d_->cancel->Attach(nullptr);
      d_->connection.reset();
      co_return std::nullopt;
    }
  }
  if (d_->parser->need_eof() && !HasEndedInOrder(d_->connection->socket)) {
    *failure = {HttpPhase::kBody, true, false,
                "the connection was reset, or ended before the request was "
                "received, and the response has no length"};
    if (d_->cancel)
      d_->cancel->Attach(nullptr);
    d_->connection.reset();
    co_return std::nullopt;
  }
  d_->done = true;
  if (d_->cancel)
    d_->cancel->Attach(nullptr);
  auto client = d_->client.lock();
  if (client && d_->parser->get().keep_alive())
    client->ReturnToPool(d_->endpoint, std::move(d_->connection));
  co_return piece;
}

}  // namespace turmericwinch
