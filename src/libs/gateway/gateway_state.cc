#include "libs/gateway/gateway_state.h"

#include <boost/json.hpp>

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr double kMsPerSecond = 1'000;

void AddGauge(std::string& text, const std::string& name, double value) {
  text += "# TYPE turmericwinch_" + name + " gauge\n";
  text += "turmericwinch_" + name + " " + std::to_string(value) + "\n";
}

double Seconds(std::chrono::milliseconds time) {
  return static_cast<double>(time.count()) / kMsPerSecond;
}

json::array Targets(const GatewayContext& context) {
  json::array rows;
  for (const TargetStats& it : context.targets.Stats()) {
    rows.push_back({{"name", it.name},
                    {"failure_domain", it.failure_domain},
                    {"service", it.service},
                    {"address", it.address},
                    {"in_flight", it.in_flight},
                    {"leaving", it.leaving},
                    {"state", NameOf(it.state)},
                    {"ejections", it.ejections},
                    {"limit", it.limit},
                    {"wait_seconds", it.wait_seconds},
                    {"seconds_per_token", it.seconds_per_token},
                    {"seconds_per_prompt_token", it.seconds_per_prompt_token}});
  }
  return rows;
}

json::object Budgets(GatewayContext& context) {
  json::object rows;
  context.ledger.With([&rows](HostLedger& ledger) {
    for (const auto& [name, it] : ledger.Snapshot()) {
      rows[name] = {{"open", it.counters.granted - it.counters.given_back},
                    {"reserved", it.reserved},
                    {"available", ledger.Available(name)}};
    }
  });
  return rows;
}

}  // namespace

std::string MetricsText(GatewayContext& context,
                        const GatewayFigures& figures) {
  std::string text = context.metrics.Exposition();
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  std::size_t waiting = 0;
  for (const auto& [service, n] : context.targets.QueueSizes())
    waiting += n;
  AddGauge(text, "ready", figures.is_ready ? 1 : 0);
  AddGauge(text, "draining", context.draining ? 1 : 0);
  AddGauge(text, "config_version",
           config ? static_cast<double>(config->version) : 0);
  AddGauge(text, "caller_connections", static_cast<double>(figures.callers));
  AddGauge(text, "active_requests",
           static_cast<double>(figures.active_requests));
  AddGauge(text, "waiting_requests", static_cast<double>(waiting));
  AddGauge(text, "listed_targets", static_cast<double>(figures.listed_targets));
  AddGauge(text, "account_age_seconds", Seconds(figures.account_age));
  AddGauge(text, "targets_age_seconds", Seconds(figures.targets_age));
  return text;
}

std::string StateText(GatewayContext& context, const GatewayFigures& figures) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  json::object queues;
  for (const auto& [service, n] : context.targets.QueueSizes())
    queues[service] = n;
  json::object state = {
      {"host", context.settings.host},
      {"incarnation", context.incarnation},
      {"ready", figures.is_ready},
      {"draining", context.draining.load()},
      {"config_version", config ? config->version : 0},
      {"routes", config ? config->routes.size() : 0},
      {"active_requests", figures.active_requests},
      {"account_age_ms", figures.account_age.count()},
      {"targets_age_ms", figures.targets_age.count()},
      {"queues", std::move(queues)},
      {"budgets", Budgets(context)},
      {"targets", Targets(context)},
  };
  return json::serialize(state);
}

}  // namespace turmericwinch
