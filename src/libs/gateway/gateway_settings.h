// Settings of the gateway.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/base/settings_table.h"
#include "libs/platform/platform_limiter.h"

namespace turmericwinch {

// Validated settings of one gateway.
struct GatewaySettings {
  std::string host;
  std::string failure_domain;
  // All failure domains, including that of this host.
  std::vector<std::string> failure_domains;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint health_listen;
  boost::asio::ip::tcp::endpoint metrics_listen;
  // Address for other hosts; port 0 if this host neither lends nor borrows.
  boost::asio::ip::tcp::endpoint peer_listen;
  // Secret with which the hosts authenticate each other.
  std::string fleet_key;
  boost::asio::ip::tcp::endpoint store;
  PlatformRates store_rates;
  // Bandwidth of this host's network link in each direction, in Mbit/s; 0 if
  // unknown.
  double link_mbps = 0;
  // Retry budget of all hosts together: retries that each request adds, and
  // retries that are allowed beyond these.
  double retry_ratio = 0;
  double retry_slack = 0;
  // Names of the deployment's contracts. Only the adapter interprets them.
  std::vector<std::string> contracts;
  // Region of each failure domain; empty if the deployment names none.
  std::map<std::string, std::string> domain_regions;
  // Time after which an evacuation of a failure domain must be in force at all
  // hosts; 0 if the deployment has no evacuations.
  std::chrono::milliseconds evacuate_time{0};
  // Requests that a cold target may get in any second, as a factor of its limit
  // and a number beyond.
  double cold_overshoot = 1;
  double cold_tolerance = 0;
  std::string log_level;
};

// Specifications of all settings.
const std::vector<SettingSpec>& GatewaySettingSpecs();

// Reads the settings from a table that was read with GatewaySettingSpecs().
GatewaySettings GatewaySettingsOf(const SettingsTable& table);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_SETTINGS_H_
