// The other hosts of the fleet, and frames to and from them.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"
#include "libs/gateway/gateway_settings.h"
#include "libs/peer/peer_network.h"

namespace turmericwinch {

// On the control thread. The account's marks say where hosts are reached, so
// that no store call is needed to find them, and none to talk to them.
class GatewayPeers {
 public:
  // Answers whether the frame was for the handler.
  using Handler = std::function<bool(const PeerFrame&)>;

  GatewayPeers(boost::asio::io_context& control,
               const GatewaySettings& settings);

  // Takes connections of other hosts, if the settings name an address.
  std::optional<bool> Listen(Reason* reason);
  // Where other hosts reach this one, IP:PORT; empty if they do not.
  const std::string& address() const { return address_; }
  bool enabled() const { return !address_.empty(); }
  void AddHandler(Handler handler) { handlers_.push_back(std::move(handler)); }
  // Takes over who the other hosts are.
  void Update(const FleetAccount& account);
  void Send(const std::string& address, const PeerFrame& frame);
  void SendToAll(const PeerFrame& frame);
  std::size_t size() const { return addresses_.size(); }

 private:
  void Receive(const PeerFrame& frame);

  const GatewaySettings& settings_;
  std::string address_;
  std::vector<std::string> addresses_;
  std::vector<Handler> handlers_;
  PeerNetwork network_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_PEERS_H_
