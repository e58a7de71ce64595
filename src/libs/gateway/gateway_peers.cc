#include "libs/gateway/gateway_peers.h"

#include <algorithm>
#include <iterator>

#include "libs/http/http_client.h"

namespace turmericwinch {

GatewayPeers::GatewayPeers(boost::asio::io_context& control,
                           const GatewaySettings& settings)
    : settings_(settings),
      address_(settings.peer_listen.port() == 0 ? ""
                                                : ToText(settings.peer_listen)),
      network_(control, settings.fleet_key, [this](const PeerFrame& frame) {
        HandleFrame(frame);
      }) {}

std::optional<bool> GatewayPeers::Listen(Reason* reason) {
  if (!enabled())
    return true;
  if (!network_.Listen(settings_.peer_listen, reason))
    return std::nullopt;
  return true;
}

void GatewayPeers::UpdateAddresses(const FleetAccount& account) {
  addresses_.clear();
  for (const auto& [holder, heartbeat] : account.heartbeats) {
    if (!heartbeat.address.empty() && heartbeat.address != address_)
      addresses_.push_back(heartbeat.address);
  }
}

void GatewayPeers::Send(const std::string& address, const PeerFrame& frame) {
  if (enabled())
    network_.Send(address, frame);
}

void GatewayPeers::SendToEach(const std::vector<std::string>& addresses,
                              const PeerFrame& frame) {
  if (enabled())
    network_.SendToEach(addresses, frame);
}

void GatewayPeers::SendToAll(const PeerFrame& frame) {
  SendToEach(addresses_, frame);
}

void GatewayPeers::SendToSome(const PeerFrame& frame, std::size_t count) {
  std::vector<std::string> chosen;
  std::sample(addresses_.begin(), addresses_.end(), std::back_inserter(chosen),
              count, random_);
  SendToEach(chosen, frame);
}

void GatewayPeers::HandleFrame(const PeerFrame& frame) {
  std::any_of(handlers_.begin(), handlers_.end(),
              [&](const Handler& it) { return it(frame); });
}

}  // namespace turmericwinch
