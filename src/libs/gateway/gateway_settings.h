// Settings of the gateway.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "libs/base/settings_table.h"
#include "libs/platform/platform_limiter.h"

namespace turmericwinch {

// Checked settings of one gateway.
struct GatewaySettings {
  std::string host;
  std::string failure_domain;
  // All failure domains, the own one included.
  std::vector<std::string> failure_domains;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint health_listen;
  boost::asio::ip::tcp::endpoint metrics_listen;
  // Where other hosts reach this one; port 0 if it neither lends nor borrows.
  boost::asio::ip::tcp::endpoint peer_listen;
  // Secret that the hosts prove to each other.
  std::string fleet_key;
  boost::asio::ip::tcp::endpoint store;
  PlatformRates store_rates;
  // Retries of all hosts together: what a request earns, and what may be made
  // beyond that in one window.
  double retry_ratio = 0;
  double retry_slack = 0;
  std::string log_level;
};

// Declaration of all settings.
const std::vector<SettingSpec>& GatewaySettingSpecs();

// The values of a table that was read with GatewaySettingSpecs().
GatewaySettings GatewaySettingsOf(const SettingsTable& table);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_
