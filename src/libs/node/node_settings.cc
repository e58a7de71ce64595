#include "libs/node/node_settings.h"

#include "libs/http/http_client.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxFlushMs = 60'000;
constexpr std::int64_t kMaxPlatformCalls = 1'000'000;
constexpr std::int64_t kMaxFleetHosts = 100'000;

boost::asio::ip::tcp::endpoint EndpointOf(const SettingsTable& table,
                                          std::string_view name) {
  return ParseEndpoint(table.Text(name))
      .value_or(boost::asio::ip::tcp::endpoint());
}

}  // namespace

const std::vector<SettingSpec>& NodeSettingSpecs() {
  static const std::vector<SettingSpec> specs = {
      {.name = "host", .label = "name of this host", .required = true},
      {.name = "failure-domain",
       .label = "failure domain of this host",
       .required = true},
      {.name = "listen",
       .type = SettingType::kEndpoint,
       .label = "address for callers",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:8080"},
      {.name = "operator-listen",
       .type = SettingType::kEndpoint,
       .label = "address for operators",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:8081"},
      {.name = "platform",
       .type = SettingType::kEndpoint,
       .label = "address of the platform's object API",
       .unit = "IP:PORT",
       .required = true},
      {.name = "operator-token",
       .label = "token that operators present",
       .required = true,
       .secret = true},
      {.name = "peer-listen",
       .type = SettingType::kEndpoint,
       .label = "address at which the fleet's other hosts reach this host",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:0"},
      {.name = "peers",
       .type = SettingType::kEndpointList,
       .label = "peer addresses of some other hosts",
       .unit = "IP:PORT,..."},
      {.name = "fleet-key",
       .label =
           "shared key that authenticates the fleet's hosts to one another; "
           "without it this host has no peers",
       .secret = true},
      {.name = "traffic-threads",
       .type = SettingType::kInteger,
       .label = "threads that process requests",
       .unit = "threads",
       .default_value = "1",
       .least = 1,
       .most = kMaxThreads},
      {.name = "flush-interval",
       .type = SettingType::kInteger,
       .label = "time between flushes of bills to the platform",
       .unit = "ms",
       .default_value = std::to_string(kFlushInterval.count()),
       .least = 10,
       .most = kMaxFlushMs},
      {.name = "platform-reads",
       .type = SettingType::kInteger,
       .label = "reads and watches of the platform by all hosts together",
       .unit = "calls/s",
       .default_value = "1500",
       .least = 1,
       .most = kMaxPlatformCalls},
      {.name = "platform-writes",
       .type = SettingType::kInteger,
       .label = "writes to the platform by all hosts together",
       .unit = "calls/s",
       .default_value = "300",
       .least = 1,
       .most = kMaxPlatformCalls},
      {.name = "fleet-hosts",
       .type = SettingType::kInteger,
       .label =
           "hosts assumed to share these calls until the host list is known",
       .unit = "hosts",
       .default_value = "420",
       .least = 1,
       .most = kMaxFleetHosts},
      {.name = "log-level",
       .label = "minimum severity of the events that are logged",
       .default_value = "info",
       .choices = {"debug", "info", "warning", "error"}},
      {.name = "print-settings",
       .type = SettingType::kFlag,
       .label = "print the settings and where each came from, then exit",
       .default_value = "false"},
      {.name = "help",
       .type = SettingType::kFlag,
       .label = "print this help, then exit",
       .default_value = "false"},
  };
  return specs;
}

NodeSettings NodeSettingsOf(const SettingsTable& table) {
  NodeSettings settings;
  settings.host = table.Text("host");
  settings.failure_domain = table.Text("failure-domain");
  settings.listen = EndpointOf(table, "listen");
  settings.operator_listen = EndpointOf(table, "operator-listen");
  settings.platform = EndpointOf(table, "platform");
  settings.operator_token = table.Text("operator-token");
  settings.peer_listen = EndpointOf(table, "peer-listen");
  settings.peers = table.List("peers");
  settings.fleet_key = table.Text("fleet-key");
  settings.traffic_threads =
      static_cast<std::size_t>(table.Integer("traffic-threads"));
  settings.platform_rates = {
      static_cast<double>(table.Integer("platform-reads")),
      static_cast<double>(table.Integer("platform-writes"))};
  settings.fleet_hosts = static_cast<std::size_t>(table.Integer("fleet-hosts"));
  settings.flush_interval =
      std::chrono::milliseconds(table.Integer("flush-interval"));
  settings.log_level = table.Text("log-level");
  return settings;
}

}  // namespace turmericwinch
