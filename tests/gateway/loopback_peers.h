// The connections of a host to other hosts over loopback.

#ifndef TESTS_GATEWAY_LOOPBACK_PEERS_H_
#define TESTS_GATEWAY_LOOPBACK_PEERS_H_

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "libs/gateway/gateway_peers.h"

namespace turmericwinch {

// Returns a port that no process is using.
inline unsigned short FreePort(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

// Listens on a free port.
struct LoopbackPeers {
  explicit LoopbackPeers(boost::asio::io_context& context)
      : settings(SettingsOf(FreePort(context))), peers(context, settings) {
    Reason reason;
    CHECK(peers.Listen(&reason).has_value());
  }

  // Makes the addresses of `hosts` known to this one.
  void Know(const std::vector<const LoopbackPeers*>& hosts) {
    FleetAccount account;
    for (const LoopbackPeers* it : hosts) {
      const std::string& address = it->peers.address();
      account.heartbeats[address + "_1"] = {"boot", BootTime(0), address};
    }
    peers.UpdateAddresses(account);
  }

  static GatewaySettings SettingsOf(unsigned short port) {
    GatewaySettings settings;
    settings.peer_listen = {boost::asio::ip::make_address("127.0.0.1"), port};
    return settings;
  }

  GatewaySettings settings;
  GatewayPeers peers;
};

}  // namespace turmericwinch

#endif  // TESTS_GATEWAY_LOOPBACK_PEERS_H_
