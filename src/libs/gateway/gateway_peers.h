// Exchanges frames with the other hosts of the fleet.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"
#include "libs/gateway/gateway_settings.h"
#include "libs/peer/peer_network.h"

namespace turmericwinch {

// Used on the control thread. The heartbeats in the fleet account hold the
// addresses of the hosts, so finding and reaching them takes no call to the
// store.
class GatewayPeers {
 public:
  // Returns whether it has handled the frame.
  using Handler = std::function<bool(const PeerFrame&)>;

  GatewayPeers(boost::asio::io_context& control,
               const GatewaySettings& settings);

  // Accepts connections of other hosts if the settings have a peer address.
  std::optional<bool> Listen(Reason* reason);
  // Address at which other hosts reach this host, IP:PORT; empty if none is
  // set.
  const std::string& address() const { return address_; }
  bool enabled() const { return !address_.empty(); }
  void AddHandler(Handler handler) { handlers_.push_back(std::move(handler)); }
  // Replaces the addresses of the other hosts by those in `account`.
  void UpdateAddresses(const FleetAccount& account);
  void Send(const std::string& address, const PeerFrame& frame);
  // Sends to the hosts at these addresses.
  void SendToEach(const std::vector<std::string>& addresses,
                  const PeerFrame& frame);
  void SendToAll(const PeerFrame& frame);
  // Sends to `count` hosts, chosen at random, or to all if there are fewer.
  void SendToSome(const PeerFrame& frame, std::size_t count);
  std::size_t size() const { return addresses_.size(); }
  // Addresses of the other hosts.
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  void HandleFrame(const PeerFrame& frame);

  const GatewaySettings& settings_;
  std::string address_;
  std::vector<std::string> addresses_;
  std::vector<Handler> handlers_;
  std::minstd_rand random_{std::random_device{}()};
  PeerNetwork network_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_
