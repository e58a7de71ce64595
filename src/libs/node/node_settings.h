// Settings of turmericwinchd.

#ifndef SRC_LIBS_NODE_NODE_SETTINGS_H_
#define SRC_LIBS_NODE_NODE_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/settings_table.h"
#include "libs/platform/platform_limiter.h"

namespace turmericwinch {

// Validated settings of one daemon.
struct NodeSettings {
  std::string host;
  std::string failure_domain;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint operator_listen;
  boost::asio::ip::tcp::endpoint platform;
  std::string operator_token;
  boost::asio::ip::tcp::endpoint peer_listen;
  // Peer addresses of some other hosts, IP:PORT.
  std::vector<std::string> peers;
  // Empty for a host without peers.
  std::string fleet_key;
  std::size_t traffic_threads = 1;
  // Platform calls per second of the whole fleet.
  PlatformRates platform_rates;
  // Number of hosts assumed to share those calls until the host list is known.
  std::size_t fleet_hosts = 1;
  std::chrono::milliseconds flush_interval{0};
  std::string log_level;
};

// Declarations of all settings.
const std::vector<SettingSpec>& NodeSettingSpecs();

// Settings from a table that was read with NodeSettingSpecs().
NodeSettings NodeSettingsOf(const SettingsTable& table);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_SETTINGS_H_
