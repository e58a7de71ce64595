// Finds out whether a target or just a connection to it is to blame.

#ifndef SRC_LIBS_NODE_TARGET_PROBE_H_
#define SRC_LIBS_NODE_TARGET_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libs/http/http_client.h"
#include "libs/http/http_failure.h"

namespace turmericwinch {

enum class ProbeResult {
  // The target answers over a fresh connection.
  kAlive,
  // It answered neither the call nor the probe in time.
  kSilent,
  // It does not answer the probe, for another reason.
  kFailed,
  // It broke the connection and resets or refuses the next: its process ended.
  kLost,
};

// Asks the target at `endpoint` for /healthz after a call failed with
// `failure`. Only 200 counts as alive if `needs_ok`, else any answer. The idle
// connections to the target are closed.
boost::asio::awaitable<ProbeResult> ProbeTarget(
    HttpClient& client,
    boost::asio::ip::tcp::endpoint endpoint,
    HttpFailure failure,
    bool needs_ok);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_TARGET_PROBE_H_
