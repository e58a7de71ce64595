// Checks whether a target or only the connection to it has failed.

#ifndef SRC_LIBS_NODE_TARGET_PROBE_H_
#define SRC_LIBS_NODE_TARGET_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libs/http/http_client.h"
#include "libs/http/http_failure.h"

namespace turmericwinch {

enum class ProbeResult {
  // The target answers over a new connection.
  kAlive,
  // Both the call and the probe timed out.
  kSilent,
  // The call could not connect, or the probe failed for another reason.
  kFailed,
  // The target broke the connection and resets or refuses the next one, as its
  // process ended.
  kLost,
};

// Sends GET /healthz to the target at `endpoint` after a call failed with
// `failure`. If `needs_ok`, only status 200 counts as alive, else any response
// does. Closes the idle connections to the target, unless the call failed to
// connect: then no probe is sent.
boost::asio::awaitable<ProbeResult> ProbeTarget(
    HttpClient& client,
    boost::asio::ip::tcp::endpoint endpoint,
    HttpFailure failure,
    bool needs_ok);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_TARGET_PROBE_H_
