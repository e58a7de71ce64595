// Sends frames to other hosts and receives frames from them.

#ifndef SRC_LIBS_PEER_PEER_NETWORK_H_
#define SRC_LIBS_PEER_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

// Counters since the start of the process. `protocol_errors` counts unknown
// versions and oversized, truncated or malformed frames; `rejected` counts
// peers without the fleet key.
struct PeerCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t dropped = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t protocol_errors = 0;
  std::uint64_t rejected = 0;
};

// After the handshake, a connection carries frames in one direction only, from
// the side that connects. Frames are not acknowledged; the sender's next frame
// makes up for a lost one. Must be used from the thread of its io_context.
class PeerNetwork {
 public:
  using FrameHandler = std::function<void(const PeerFrame&)>;

  PeerNetwork(boost::asio::io_context& context,
              std::string key,
              FrameHandler on_frame);
  ~PeerNetwork();

  // Accepts connections on `endpoint`; returns the actual local endpoint.
  std::optional<boost::asio::ip::tcp::endpoint> Listen(
      boost::asio::ip::tcp::endpoint endpoint,
      Reason* reason);
  // Queues `frame` for the host at `address`, IP:PORT, and connects to it if
  // there is no connection.
  void Send(const std::string& address, const PeerFrame& frame);
  // The same for several hosts; the frame is encoded once.
  void SendToEach(const std::vector<std::string>& addresses,
                  const PeerFrame& frame);

  const PeerCounters& counters() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_NETWORK_H_
