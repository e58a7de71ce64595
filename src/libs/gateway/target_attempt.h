// One attempt of a call at one target.

#ifndef SRC_LIBS_GATEWAY_TARGET_ATTEMPT_H_
#define SRC_LIBS_GATEWAY_TARGET_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "libs/gateway/gateway_context.h"
#include "libs/gateway/resolved_call.h"
#include "libs/gateway/response_relay.h"
#include "libs/http/http_exchange.h"

namespace turmericwinch {

// What became of an attempt. `arrived` is whether the target may have received
// the request, and `is_unreachable` whether the connection to it failed; both
// are false if nothing was sent. `connection_closed` is whether the target
// closed the connection before the end of its response. `failed_response` is a
// server error that was not sent to the caller, as the call may be retried;
// `status` is that of a response that was sent, except for streams.
struct AttemptReport {
  AttemptResult result = AttemptResult::kNotRun;
  bool arrived = false;
  bool is_unreachable = false;
  bool may_have_run = false;
  bool connection_closed = false;
  std::optional<HttpResponse> failed_response;
  int status = 0;
};

// Sends the request to the target and relays its response. Used in the
// coroutine of the request's handler; owns nothing that it refers to.
class TargetAttempt {
 public:
  TargetAttempt(GatewayContext& context,
                const ResolvedCall& resolved,
                const TargetChoice& choice);

  // `reason` says why the attempt failed.
  boost::asio::awaitable<AttemptReport> Run(const HttpRequest& request,
                                            HttpExchange& exchange,
                                            ResponseRelay& relay,
                                            HttpCancel& cancel,
                                            Reason* reason);

 private:
  RequestMetadata MetadataFor(const EventOrder& order) const;
  // Handles a call that got no response.
  void HandleFailedCall(const HttpFailure& failure,
                        bool is_cancelled,
                        Reason* reason);
  // Relays the response, or handles it if it is none to this request.
  boost::asio::awaitable<void> HandleResponse(HttpStream& stream,
                                              HttpExchange& exchange,
                                              ResponseRelay& relay,
                                              Reason* reason);
  // Ends an attempt to continue a stream that the target answered with an
  // error. The caller has the head of the stream, so it gets none of the error.
  AttemptResult RejectErrorInStream(const HttpStream& stream, Reason* reason);
  // Relays a response that is no stream. A server error is kept for the caller
  // and not sent yet if the request may be retried at another target.
  boost::asio::awaitable<AttemptResult> RelayResponse(RelayedResponse& relayed,
                                                      HttpExchange& exchange,
                                                      ResponseRelay& relay,
                                                      Reason* reason);
  // Records what the target says of itself in its response.
  void RecordNotice(int status, const HttpHeaders& headers);
  // Records the load that the target reports in its response.
  void RecordReportedLoad(const HttpHeaders& headers);
  // Records the rate limit that the target names in its response.
  void RecordRateLimit(const HttpHeaders& headers);

  GatewayContext& context_;
  const ResolvedCall& resolved_;
  const TargetChoice& choice_;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
  AttemptMeter meter_;
  AttemptReport report_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TARGET_ATTEMPT_H_
