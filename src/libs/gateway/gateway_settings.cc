#include "libs/gateway/gateway_settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <cstdlib>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMostRate = 1'000'000;

boost::asio::ip::tcp::endpoint Endpoint(const SettingsTable& table,
                                        std::string_view name) {
  return ParseEndpoint(table.Text(name))
      .value_or(boost::asio::ip::tcp::endpoint());
}

}  // namespace

const std::vector<SettingSpec>& GatewaySettingSpecs() {
  using enum SettingType;
  static const std::vector<SettingSpec> specs = {
      {.name = "host",
       .label = "name of this host, the same after a restart",
       .required = true},
      {.name = "failure-domain",
       .label = "failure domain of this host",
       .required = true},
      {.name = "failure-domains",
       .label = "all failure domains, comma-separated"},
      {.name = "listen",
       .type = kEndpoint,
       .label = "address for callers",
       .required = true},
      {.name = "health-listen",
       .type = kEndpoint,
       .label = "address for the balancer's health probes",
       .required = true},
      {.name = "metrics-listen",
       .type = kEndpoint,
       .label = "address for metrics and the state dump",
       .required = true},
      {.name = "peer-listen",
       .type = kEndpoint,
       .label = "address for other hosts, which lend each other tokens"},
      {.name = "fleet-key",
       .label = "secret that the hosts of the fleet prove to each other"},
      {.name = "store",
       .type = kEndpoint,
       .label = "address of the store",
       .required = true},
      {.name = "store-reads",
       .type = kInteger,
       .label = "read calls to the store of all hosts together",
       .unit = "calls/s",
       .default_value = "2000",
       .least = 1,
       .most = kMostRate},
      {.name = "store-writes",
       .type = kInteger,
       .label = "write calls to the store of all hosts together",
       .unit = "calls/s",
       .default_value = "400",
       .least = 1,
       .most = kMostRate},
      {.name = "retry-ratio",
       .label = "retries that all hosts may make, of a service's requests",
       .default_value = "0.2"},
      {.name = "retry-slack",
       .type = kInteger,
       .label = "retries that all hosts may make beyond that at a time",
       .default_value = "50",
       .least = 0,
       .most = kMostRate},
      {.name = "log-level",
       .label = "least severe events that are logged",
       .default_value = "info",
       .choices = {"debug", "info", "warning", "error"}},
      {.name = "print-settings",
       .type = kFlag,
       .label = "print the settings and exit",
       .default_value = "false"},
      {.name = "help",
       .type = kFlag,
       .label = "print this text and exit",
       .default_value = "false"},
  };
  return specs;
}

GatewaySettings GatewaySettingsOf(const SettingsTable& table) {
  GatewaySettings settings;
  settings.host = table.Text("host");
  settings.failure_domain = table.Text("failure-domain");
  const std::string domains = table.Text("failure-domains");
  boost::algorithm::split(settings.failure_domains, domains,
                          boost::algorithm::is_any_of(","));
  settings.listen = Endpoint(table, "listen");
  settings.health_listen = Endpoint(table, "health-listen");
  settings.metrics_listen = Endpoint(table, "metrics-listen");
  settings.peer_listen = Endpoint(table, "peer-listen");
  settings.fleet_key = table.Text("fleet-key");
  settings.store = Endpoint(table, "store");
  settings.store_rates = {static_cast<double>(table.Integer("store-reads")),
                          static_cast<double>(table.Integer("store-writes"))};
  settings.retry_ratio =
      std::strtod(table.Text("retry-ratio").c_str(), nullptr);
  settings.retry_slack = static_cast<double>(table.Integer("retry-slack"));
  settings.log_level = table.Text("log-level");
  return settings;
}

}  // namespace turmericwinch
