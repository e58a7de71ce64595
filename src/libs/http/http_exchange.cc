#include "libs/http/http_exchange.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>

#include "libs/http/http_exchange_private.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

void AppendStatusAndHeaders(std::string& buf,
                            int status,
                            const HttpHeaders& headers,
                            bool keep_alive) {
  buf += "HTTP/1.1 ";
  buf += std::to_string(status);
  buf += ' ';
  buf += http::obsolete_reason(static_cast<http::status>(status));
  buf += "\r\n";
  for (const auto& [name, value] : headers.fields()) {
    buf += name;
    buf += ": ";
    buf += value;
    buf += "\r\n";
  }
  if (!keep_alive)
    buf += "Connection: close\r\n";
}

}  // namespace

asio::awaitable<bool> HttpExchange::Send(const HttpResponse& response) {
  d_->started = true;
  d_->ended = true;
  d_->buf.clear();
  AppendStatusAndHeaders(d_->buf, response.status, response.headers,
                         d_->keep_alive);
  d_->buf += "Content-Length: ";
  d_->buf += std::to_string(response.body.size());
  d_->buf += "\r\n\r\n";
  d_->buf += response.body;
  co_return co_await d_->WriteBuffer();
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  d_->started = true;
  d_->buf.clear();
  AppendStatusAndHeaders(d_->buf, status, headers, d_->keep_alive);
  d_->buf += "Transfer-Encoding: chunked\r\n\r\n";
  d_->head_pending = true;
}

asio::awaitable<bool> HttpExchange::Write(std::string_view data) {
  if (data.empty())
    co_return true;
  char size[24];
  const int n = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  d_->PrepareBuffer();
  d_->buf.append(size, n);
  d_->buf += data;
  d_->buf += "\r\n";
  co_return co_await d_->WriteBuffer();
}

asio::awaitable<bool> HttpExchange::EndStream() {
  d_->ended = true;
  d_->PrepareBuffer();
  d_->buf += "0\r\n\r\n";
  co_return co_await d_->WriteBuffer();
}

void HttpExchange::CloseAfterResponse() {
  d_->keep_alive = false;
}

void HttpExchange::Abort() {
  d_->keep_alive = false;
  d_->started = true;
  d_->ended = true;
}

bool HttpExchange::CallerGone() const {
  return d_->IsClosed();
}

void HttpExchange::WatchCaller(std::function<void()> on_gone) {
  d_->Watch(std::move(on_gone));
}

bool HttpExchange::started() const {
  return d_->started;
}

std::optional<std::chrono::steady_clock::time_point>
HttpExchange::first_byte_at() const {
  return d_->first_byte;
}

std::size_t HttpExchange::thread_index() const {
  return d_->thread_index;
}

std::uint64_t HttpExchange::connection_number() const {
  return d_->connection;
}

}  // namespace turmericwinch
