// This host's membership in the fleet and its connections to peers.

#ifndef SRC_LIBS_NODE_FLEET_MANAGER_H_
#define SRC_LIBS_NODE_FLEET_MANAGER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/membership/member.h"
#include "libs/node/node_settings.h"
#include "libs/peer/peer_frame.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// Without a fleet key the host has no peers and holds every duty itself. Used
// from the control thread.
class FleetManager {
 public:
  FleetManager(boost::asio::io_context& control, const NodeSettings& settings);
  ~FleetManager();

  // `on_frame` receives all frames that are not about membership.
  void SetFrameHandler(std::function<void(const PeerFrame&)> on_frame);
  // `on_peer` receives the address and the configuration generation of each
  // peer that sends a membership message.
  void SetPeerHandler(
      std::function<void(const std::string&, std::uint64_t)> on_peer);
  // `on_change` is called when a member appears or changes its state.
  void SetMemberChangeHandler(std::function<void()> on_change);
  // Accepts peers and returns the bound address. Does nothing without a key.
  std::optional<boost::asio::ip::tcp::endpoint> Listen(Reason* reason);
  // Runs the membership protocol until the io_context stops.
  boost::asio::awaitable<void> Run();
  // Tells the peers that this host leaves.
  void Leave();

  bool enabled() const;
  // Number of usable hosts in the whole fleet, including this one.
  std::size_t UsableHostCount() const;
  // Whether other hosts are known or are named in the settings.
  bool ExpectsPeers() const;
  void SetListedHosts(const HostList& list);
  void SetConfigGeneration(std::uint64_t generation);
  // Whether this host is one of the `n` hosts of its domain that hold `duty`.
  bool HoldsDuty(std::string_view duty, std::size_t n) const;
  // Addresses of those `n` hosts, highest rank first. Empty if this host is one
  // of them.
  std::vector<std::string> DutyHolderAddresses(std::string_view duty,
                                               std::size_t n) const;
  // All other usable hosts, in random order.
  std::vector<Member> ShuffledPeers();
  // Addresses of the other usable hosts of this domain.
  std::vector<std::string> DomainPeerAddresses() const;
  // Whether the host at `address` announced that it leaves.
  bool HasLeft(const std::string& address) const;
  // Addresses of up to `n` random usable hosts.
  std::vector<std::string> RandomPeerAddresses(std::size_t n);
  void Send(const std::string& address, const PeerFrame& frame);
  // Address at which peers reach this host, IP:PORT.
  const std::string& address() const;

  // All known hosts with their states and generations, and the counters.
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_FLEET_MANAGER_H_
