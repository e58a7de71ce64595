// Relays a target's response to the caller.

#ifndef SRC_LIBS_GATEWAY_RESPONSE_RELAY_H_
#define SRC_LIBS_GATEWAY_RESPONSE_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/gateway/event_order.h"
#include "libs/gateway/event_splitter.h"
#include "libs/gateway/gateway_dialect.h"
#include "libs/gateway/response_memory.h"
#include "libs/http/http_client.h"
#include "libs/http/http_exchange.h"
#include "libs/node/attempt_meter.h"

namespace turmericwinch {

// How one attempt ended.
enum class AttemptResult {
  // The caller has its response, or its connection was closed.
  kDone,
  // The target did not run the request.
  kNotRun,
  // The target may have run the request, and the caller has received no byte of
  // a response.
  kFailed,
  // A stream broke after a part of it was sent to the caller.
  kStreamBroken,
};

// A response that is being read from a target.
struct RelayedResponse {
  HttpStream& stream;
  AttemptMeter& meter;
  std::string target;
  std::chrono::steady_clock::time_point deadline;
  // Set if the target closed or reset the connection before the end.
  bool connection_closed = false;
};

// Relays the responses to one request. Later attempts continue the stream that
// an earlier attempt began. Used in the coroutine of the request's handler.
class ResponseRelay {
 public:
  ResponseRelay(const GatewayDialect& dialect,
                HttpExchange& exchange,
                HttpCancel& cancel,
                ResponseMemory& memory)
      : dialect_(dialect),
        exchange_(exchange),
        cancel_(cancel),
        share_(memory) {}

  // The caller already has the events up to `event`, if it names one.
  void StartAfter(std::optional<EventId> event) {
    order_.StartAfter(std::move(event));
  }
  // Reads the whole response. Returns nullopt and sets `reason` if reading
  // fails.
  boost::asio::awaitable<std::optional<HttpResponse>> ReadResponse(
      RelayedResponse& response,
      Reason* reason);
  // Relays complete events as they arrive.
  boost::asio::awaitable<AttemptResult> RelayStream(RelayedResponse& response,
                                                    Reason* reason);

  bool head_sent() const { return head_sent_; }
  // Status of the stream once it has ended completely; 0 before.
  int status() const { return status_; }
  const EventOrder& order() const { return order_; }
  // Bytes of all bodies read from targets.
  std::size_t received_bytes() const { return received_bytes_; }

 private:
  // Returns the bytes of the events that are complete after `piece` and that
  // the caller does not have yet. Returns nullopt and sets `reason` if the
  // target skipped events.
  std::optional<std::string> NewEvents(std::string_view piece,
                                       EventSplitter& splitter,
                                       const RelayedResponse& response,
                                       Reason* reason);
  // Accounts for `bytes` of the current response. Returns false and sets
  // `reason` if the host has no memory for them.
  bool ReserveMemory(std::size_t bytes,
                     const RelayedResponse& response,
                     Reason* reason);
  // Sends the response head unless an earlier attempt has sent it.
  void StartStreamOnce(const HttpStream& stream);

  const GatewayDialect& dialect_;
  HttpExchange& exchange_;
  HttpCancel& cancel_;
  ResponseShare share_;
  // Bytes of whole responses, one of which the call may keep while it tries
  // another target.
  std::size_t kept_bytes_ = 0;
  EventOrder order_;
  bool head_sent_ = false;
  int status_ = 0;
  std::size_t received_bytes_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RESPONSE_RELAY_H_
