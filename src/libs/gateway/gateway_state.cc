#include "libs/gateway/gateway_state.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr double kMsPerSecond = 1'000;

void AddGauge(std::string& text, const std::string& name, double value) {
  text += "# TYPE turmericwinch_" + name + " gauge\n";
  text += "turmericwinch_" + name + " " + std::to_string(value) + "\n";
}

void AddCounter(std::string& text,
                const std::string& name,
                std::uint64_t value) {
  text += "# TYPE turmericwinch_" + name + " counter\n";
  text += "turmericwinch_" + name + " " + std::to_string(value) + "\n";
}

void AddAccountCounters(std::string& text, const AccountStats& stats) {
  AddCounter(text, "account_reads_total", stats.reads);
  AddCounter(text, "account_writes_total", stats.writes);
  AddCounter(text, "account_conflicts_total", stats.conflicts);
  AddCounter(text, "account_call_failures_total", stats.failures);
  AddCounter(text, "account_read_bytes_total", stats.bytes_read);
  AddCounter(text, "account_written_bytes_total", stats.bytes_written);
}

double Seconds(std::chrono::milliseconds time) {
  return static_cast<double>(time.count()) / kMsPerSecond;
}

void AddEvacuations(std::string& text, const EvacuationStats& stats) {
  AddGauge(text, "evacuated_domains",
           static_cast<double>(stats.domains.size()));
  // Left out if nothing is known, because 0 would mean that it is fresh.
  if (stats.age)
    AddGauge(text, "evacuations_age_seconds", Seconds(*stats.age));
}

json::object Evacuations(const EvacuationStats& stats) {
  json::object row = {
      {"domains", json::array(stats.domains.begin(), stats.domains.end())},
      {"version", stats.version.revision},
      {"era", stats.version.era}};
  if (stats.age)
    row["age_ms"] = stats.age->count();
  else
    row["age_ms"] = nullptr;
  return row;
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
                    {"evacuated", it.evacuated},
                    {"cold", it.cold},
                    {"state", NameOf(it.state)},
                    {"ejections", it.ejections},
                    {"limit", it.limit},
                    {"rate_limit", it.rate_limit},
                    {"speed_factor", it.speed_factor},
                    {"own_tokens", it.own_tokens},
                    {"used_tokens", it.used_tokens},
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

std::string MetricsText(GatewayContext& context, const GatewayStats& stats) {
  std::string text = context.metrics.Exposition();
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  const std::vector<TargetStats> targets = context.targets.Stats();
  const auto cold =
      std::count_if(targets.begin(), targets.end(),
                    [](const TargetStats& it) { return it.cold; });
  std::size_t waiting = 0;
  for (const auto& [service, n] : context.targets.QueueSizes())
    waiting += n;
  AddGauge(text, "ready", stats.is_ready ? 1 : 0);
  AddGauge(text, "draining", context.draining ? 1 : 0);
  AddGauge(text, "link_saturated", context.link.is_saturated() ? 1 : 0);
  AddGauge(text, "response_memory_bytes",
           static_cast<double>(context.response_memory.used()));
  AddGauge(text, "link_bytes_per_second", context.link.rate());
  AddGauge(text, "quarantined_prompt_parts",
           static_cast<double>(context.quarantine.quarantined_parts()));
  AddGauge(text, "config_version",
           config ? static_cast<double>(config->version) : 0);
  AddGauge(text, "caller_connections", static_cast<double>(stats.callers));
  AddGauge(text, "active_requests", static_cast<double>(stats.active_requests));
  AddGauge(text, "waiting_requests", static_cast<double>(waiting));
  AddGauge(text, "listed_targets", static_cast<double>(stats.listed_targets));
  AddGauge(text, "cold_targets", static_cast<double>(cold));
  AddGauge(text, "account_age_seconds", Seconds(stats.account_age));
  AddGauge(text, "targets_age_seconds", Seconds(stats.targets_age));
  if (stats.evacuations)
    AddEvacuations(text, *stats.evacuations);
  AddAccountCounters(text, stats.account);
  return text;
}

std::string StateText(GatewayContext& context, const GatewayStats& stats) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  json::object queues;
  for (const auto& [service, n] : context.targets.QueueSizes())
    queues[service] = n;
  json::object state = {
      {"host", context.settings.host},
      {"incarnation", context.incarnation},
      {"ready", stats.is_ready},
      {"draining", context.draining.load()},
      {"config_version", config ? config->version : 0},
      {"routes", config ? config->routes.size() : 0},
      {"active_requests", stats.active_requests},
      {"account_age_ms", stats.account_age.count()},
      {"targets_age_ms", stats.targets_age.count()},
      {"queues", std::move(queues)},
      {"budgets", Budgets(context)},
      {"targets", Targets(context)},
  };
  if (stats.evacuations)
    state["evacuations"] = Evacuations(*stats.evacuations);
  return json::serialize(state);
}

}  // namespace turmericwinch
