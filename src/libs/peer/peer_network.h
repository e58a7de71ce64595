// Sends frames to other hosts and takes theirs.

#ifndef SRC_LIBS_PEER_PEER_NETWORK_H_
#define SRC_LIBS_PEER_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

// Counts since the start. `protocol_errors` are unknown versions and oversized,
// truncated or garbled frames; `rejected` are peers without the fleet's key.
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

// Connections carry frames one way, from the side that connects. Frames are
// not acknowledged: one that is lost is made up for by the sender's next. Used
// from the thread of its io_context.
class PeerNetwork {
 public:
  using FrameHandler = std::function<void(const PeerFrame&)>;

  PeerNetwork(boost::asio::io_context& context,
              std::string key,
              FrameHandler on_frame);
  ~PeerNetwork();

  // Accepts connections at `endpoint`; answers the address in use.
  std::optional<boost::asio::ip::tcp::endpoint> Listen(
      boost::asio::ip::tcp::endpoint endpoint,
      Reason* reason);
  // Sends to the host at `address`, IP:PORT, connecting if need be.
  void Send(const std::string& address, const PeerFrame& frame);

  const PeerCounters& counters() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_NETWORK_H_
