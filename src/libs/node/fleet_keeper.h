// This host's part in the fleet: membership and the link to its peers.

#ifndef SRC_LIBS_NODE_FLEET_KEEPER_H_
#define SRC_LIBS_NODE_FLEET_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/node/node_settings.h"
#include "libs/peer/peer_frame.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// Without a fleet key there are no peers, and this host does every duty of its
// own. Used from the control thread.
class FleetKeeper {
 public:
  FleetKeeper(boost::asio::io_context& control, const NodeSettings& settings);
  ~FleetKeeper();

  // Takes the frames that are not of membership.
  void SetFrameHook(std::function<void(const PeerFrame&)> on_frame);
  // Told the address and generation of each peer that is heard.
  void SetPeerHook(
      std::function<void(const std::string&, std::uint64_t)> on_peer);
  // Accepts peers; answers the address in use. Does nothing without a key.
  std::optional<boost::asio::ip::tcp::endpoint> Listen(Reason* reason);
  // Ticks until the io_context stops.
  boost::asio::awaitable<void> Run();
  // Tells the others that this host leaves.
  void Leave();

  bool enabled() const;
  // Whether other hosts are known or named by the settings.
  bool ExpectsPeers() const;
  void SetListed(const HostList& list);
  void SetGeneration(std::uint64_t generation);
  // Whether this host is one of the `n` of its domain that hold `duty`.
  bool Holds(std::string_view duty, std::size_t n) const;
  // Addresses of those `n`, best first; empty where this host is one.
  std::vector<std::string> HolderAddresses(std::string_view duty,
                                           std::size_t n) const;
  // Whether the host at `address` said that it leaves.
  bool HasLeft(const std::string& address) const;
  // Addresses of `n` random hosts that can be used.
  std::vector<std::string> RandomPeers(std::size_t n);
  void Send(const std::string& address, const PeerFrame& frame);
  // Where peers reach this host, IP:PORT.
  const std::string& address() const;

  // All known hosts with their states and generations, and the counters.
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_FLEET_KEEPER_H_
