// Passes a target's answer on to the caller.

#ifndef SRC_LIBS_GATEWAY_ANSWER_RELAY_H_
#define SRC_LIBS_GATEWAY_ANSWER_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/gateway/event_order.h"
#include "libs/gateway/event_splitter.h"
#include "libs/gateway/gateway_dialect.h"
#include "libs/http/http_client.h"
#include "libs/http/http_exchange.h"
#include "libs/node/attempt_meter.h"

namespace turmericwinch {

// How one attempt ended.
enum class AttemptEnd {
  // The caller has its answer, or its connection was given up.
  kDone,
  // No target ran the request.
  kNotRun,
  // A target may have run it, and the caller has no byte of an answer.
  kLost,
  // A stream broke after the caller got a part of it.
  kBroken,
};

// An answer on its way from a target.
struct RelayedAnswer {
  HttpStream& stream;
  AttemptMeter& meter;
  std::string target;
  std::chrono::steady_clock::time_point deadline;
};

// Of one request; later attempts go on with the stream that earlier ones began.
// In the handler's coroutine.
class AnswerRelay {
 public:
  AnswerRelay(const GatewayDialect& dialect,
              HttpExchange& exchange,
              HttpCancel& cancel)
      : dialect_(dialect), exchange_(exchange), cancel_(cancel) {}

  // The caller has the events up to `event`.
  void StartAfter(std::uint64_t event) { order_.StartAfter(event); }
  // Reads a whole answer. Nothing, with a reason, if it broke.
  boost::asio::awaitable<std::optional<HttpResponse>> Read(
      RelayedAnswer& answer,
      Reason* reason);
  // Passes on whole events as they come.
  boost::asio::awaitable<AttemptEnd> Stream(RelayedAnswer& answer,
                                            Reason* reason);

  bool head_sent() const { return head_sent_; }
  // Status of the stream that ended whole; 0 before.
  int status() const { return status_; }
  const EventOrder& order() const { return order_; }

 private:
  // The whole events in `piece` that the caller does not have. Nothing, with a
  // reason, if the target left some out.
  std::optional<std::string> NewEvents(std::string_view piece,
                                       EventSplitter& splitter,
                                       const RelayedAnswer& answer,
                                       Reason* reason);
  void StartOnce(const HttpStream& stream);

  const GatewayDialect& dialect_;
  HttpExchange& exchange_;
  HttpCancel& cancel_;
  EventOrder order_;
  bool head_sent_ = false;
  int status_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_ANSWER_RELAY_H_
