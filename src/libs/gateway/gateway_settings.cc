#include "libs/gateway/gateway_settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMaxRate = 1'000'000'000;
constexpr std::int64_t kMaxRetryRatio = 1'000;

boost::asio::ip::tcp::endpoint EndpointSetting(const SettingsTable& table,
                                               std::string_view name) {
  return ParseEndpoint(table.Text(name))
      .value_or(boost::asio::ip::tcp::endpoint());
}

// The comma-separated entries of a setting that are not empty.
std::vector<std::string> ListSetting(const SettingsTable& table,
                                     std::string_view name) {
  std::vector<std::string> entries;
  const std::string text = table.Text(name);
  boost::algorithm::split(entries, text, boost::algorithm::is_any_of(","));
  std::erase(entries, "");
  return entries;
}

std::map<std::string, std::string> ParseDomainRegions(
    const std::vector<std::string>& entries) {
  std::map<std::string, std::string> regions;
  for (const std::string& it : entries) {
    const std::size_t equals = it.find('=');
    if (equals != std::string::npos)
      regions[it.substr(0, equals)] = it.substr(equals + 1);
  }
  return regions;
}

}  // namespace

const std::vector<SettingSpec>& GatewaySettingSpecs() {
  using enum SettingType;
  static const std::vector<SettingSpec> specs = {
      {.name = "host",
       .label = "name of this host; must stay the same after a restart",
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
       .label = "address for the load balancer's health probes",
       .required = true},
      {.name = "metrics-listen",
       .type = kEndpoint,
       .label = "address for metrics and the state dump",
       .required = true},
      {.name = "peer-listen",
       .type = kEndpoint,
       .label = "address for other hosts, for loans of tokens"},
      {.name = "fleet-key",
       .label =
           "secret with which the hosts of the fleet authenticate each other"},
      {.name = "store",
       .type = kEndpoint,
       .label = "address of the store",
       .required = true},
      {.name = "store-reads",
       .type = kDecimal,
       .label = "limit of read calls to the store, for all hosts together",
       .unit = "calls/s",
       .default_value = "2000",
       .least = 1,
       .most = kMaxRate},
      {.name = "store-writes",
       .type = kDecimal,
       .label = "limit of write calls to the store, for all hosts together",
       .unit = "calls/s",
       .default_value = "400",
       .least = 1,
       .most = kMaxRate},
      {.name = "link-mbps",
       .type = kDecimal,
       .label = "bandwidth of this host's network link in each direction, in "
                "Mbit/s; 0 if unknown",
       .default_value = "0",
       .least = 0,
       .most = kMaxRate},
      {.name = "retry-ratio",
       .type = kDecimal,
       .label = "retries that all hosts may make, per request of a service",
       .default_value = "0.2",
       .least = 0,
       .most = kMaxRetryRatio},
      {.name = "retry-slack",
       .type = kDecimal,
       .label = "retries that all hosts may make beyond the retry ratio",
       .default_value = "50",
       .least = 0,
       .most = kMaxRate},
      {.name = "contracts",
       .label = "names of the deployment's contracts, comma-separated"},
      {.name = "domain-regions",
       .label = "region of each failure domain, DOMAIN=REGION, "
                "comma-separated"},
      {.name = "evacuate-ms",
       .type = kDecimal,
       .label = "time after which an evacuation of a failure domain must be in "
                "force; 0 if there are no evacuations",
       .unit = "ms",
       .default_value = "0",
       .least = 0,
       .most = kMaxRate},
      {.name = "cold-overshoot",
       .type = kDecimal,
       .label = "requests that a cold target may get in a second, as a factor "
                "of its limit",
       .default_value = "1",
       .least = 0,
       .most = kMaxRate},
      {.name = "cold-tolerance",
       .type = kDecimal,
       .label = "requests that a cold target may get in a second beyond the "
                "factor",
       .default_value = "0",
       .least = 0,
       .most = kMaxRate},
      {.name = "log-level",
       .label = "minimum severity of the events that are logged",
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
  settings.failure_domains = ListSetting(table, "failure-domains");
  if (settings.failure_domains.empty())
    settings.failure_domains.push_back(settings.failure_domain);
  settings.listen = EndpointSetting(table, "listen");
  settings.health_listen = EndpointSetting(table, "health-listen");
  settings.metrics_listen = EndpointSetting(table, "metrics-listen");
  settings.peer_listen = EndpointSetting(table, "peer-listen");
  settings.fleet_key = table.Text("fleet-key");
  settings.store = EndpointSetting(table, "store");
  settings.store_rates = {table.Decimal("store-reads"),
                          table.Decimal("store-writes")};
  settings.link_mbps = table.Decimal("link-mbps");
  settings.retry_ratio = table.Decimal("retry-ratio");
  settings.retry_slack = table.Decimal("retry-slack");
  settings.domain_regions = ParseDomainRegions(ListSetting(table, "domain-regions"));
  settings.contracts = ListSetting(table, "contracts");
  settings.evacuate_time = std::chrono::milliseconds(
      static_cast<std::int64_t>(table.Decimal("evacuate-ms")));
  settings.cold_overshoot = table.Decimal("cold-overshoot");
  settings.cold_tolerance = table.Decimal("cold-tolerance");
  settings.log_level = table.Text("log-level");
  return settings;
}

}  // namespace turmericwinch
