#include "libs/platform/platform_transport.h"

#include <boost/asio.hpp>
#include <utility>

#include "libs/http/http_client.h"
#include "libs/platform/platform_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;

ResultCode ToResultCode(int status, bool writes, bool creates) {
  if (status == kStatusNotFound || status == kStatusGone)
    return ResultCode::kPlatformNotFound;
  if (status == kStatusConflict)
    return creates ? ResultCode::kPlatformExists
                   : ResultCode::kPlatformConflict;
  if (status == kStatusTooManyRequests)
    return ResultCode::kPlatformUnavailable;
  if (status >= kFirstServerErrorStatus)
    return writes ? ResultCode::kPlatformUnknown
                  : ResultCode::kPlatformUnavailable;
  return ResultCode::kPlatformRejected;
}

}  // namespace

class PlatformTransport::Private {
 public:
  Private(asio::io_context& context, asio::ip::tcp::endpoint endpoint)
      : context(context), client(context), endpoint(endpoint) {
    client.SetMaxIdleTime(kPlatformMaxIdleTime);
  }

  asio::io_context& context;
  HttpClient client;
  asio::ip::tcp::endpoint endpoint;
  CallCounter counter;
  std::unique_ptr<PlatformGate> gate;
  std::function<void(const HttpHeaders&)> observe_headers =
      [](const HttpHeaders&) {};
};

PlatformTransport::PlatformTransport(asio::io_context& context,
                                     asio::ip::tcp::endpoint endpoint)
    : d_(std::make_unique<Private>(context, endpoint)) {}

PlatformTransport::~PlatformTransport() = default;

void PlatformTransport::Limit(PlatformRates fleet, std::size_t hosts) {
  d_->gate = std::make_unique<PlatformGate>(d_->context, fleet, hosts);
}

void PlatformTransport::SetHosts(std::size_t hosts) {
  if (d_->gate)
    d_->gate->SetHosts(hosts);
}

void PlatformTransport::SetProbingHosts(std::size_t hosts) {
  if (d_->gate)
    d_->gate->SetProbingHosts(hosts);
}

void PlatformTransport::SetUnresponsivePeerTimeout(
    std::chrono::milliseconds time) {
  d_->client.SetUnresponsivePeerTimeout(time);
}

void PlatformTransport::SetHeadersObserver(
    std::function<void(const HttpHeaders&)> observer) {
  d_->observe_headers = std::move(observer);
}

asio::awaitable<std::optional<HttpResponse>> PlatformTransport::Send(
    PlatformDuty duty,
    PlatformCallKind kind,
    HttpRequest request,
    std::chrono::milliseconds timeout,
    Reason* reason,
    std::string* error_body) {
  if (d_->gate) {
    const bool entered = co_await d_->gate->Enter(duty, kind, reason);
    if (!entered)
      co_return std::nullopt;
  }
  d_->counter.Add(duty, kind);
  HttpFailure failure;
  const HttpTimeouts timeouts{kConnectTimeout, timeout, timeout};
  std::optional<HttpResponse> response =
      co_await d_->client.Call(d_->endpoint, request, timeouts, &failure);
  const bool answered = response &&
                        response->status < kFirstServerErrorStatus &&
                        response->status != kStatusTooManyRequests;
  if (!answered)
    d_->counter.AddUnanswered(duty, kind);
  if (d_->gate)
    d_->gate->Leave(answered);
  const bool writes = kind == PlatformCallKind::kWrite;
  if (!response) {
    // Other connections may have gone silent together with this one.
    if (failure.timed_out)
      d_->client.CloseIdleConnections(d_->endpoint);
    const bool outcome_unknown = writes && failure.may_have_arrived;
    co_return Fail(reason,
                   outcome_unknown ? ResultCode::kPlatformUnknown
                                   : ResultCode::kPlatformUnavailable,
                   "no response from the platform: " + failure.text);
  }
  d_->observe_headers(response->headers);
  if (response->status == kStatusOk || response->status == kStatusCreated ||
      response->status == kStatusNoContent)
    co_return response;
  if (error_body)
    *error_body = std::move(response->body);
  co_return Fail(
      reason, ToResultCode(response->status, writes, request.method == "POST"),
      "the platform answered " + std::to_string(response->status) + " to " +
          request.method + " " + request.target);
}

const CallCounter& PlatformTransport::counter() const {
  return d_->counter;
}

const PlatformLimiter* PlatformTransport::limiter() const {
  return d_->gate ? &d_->gate->limiter() : nullptr;
}

}  // namespace turmericwinch
