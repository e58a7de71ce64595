// Compares policies of drawing on budgets, over the decision library itself.

#include <iomanip>
#include <iostream>

#include "apps/measure_budget/budget_run.h"
#include "apps/measure_budget/model_constants.h"
#include "libs/base/settings_table.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMostSeed = 1'000'000;
constexpr std::int64_t kMostHosts = 2'000;
constexpr std::int64_t kMostBudgets = 100'000;
constexpr std::int64_t kMostSeconds = 24 * 3'600;
constexpr std::int64_t kMostRate = 100'000;
constexpr std::int64_t kMostPercent = 100;
constexpr double kMegabyte = 1e6;

SettingSpec Number(std::string name,
                   std::string label,
                   std::string default_value,
                   std::int64_t least,
                   std::int64_t most) {
  SettingSpec spec;
  spec.name = std::move(name);
  spec.type = SettingType::kInteger;
  spec.label = std::move(label);
  spec.default_value = std::move(default_value);
  spec.least = least;
  spec.most = most;
  return spec;
}

std::vector<SettingSpec> MeasureSpecs() {
  SettingSpec policy;
  policy.name = "policy";
  policy.label = "one policy by name; all if empty";
  SettingSpec scenario;
  scenario.name = "scenario";
  scenario.label = "one of calm, outage, partition, deaths, end; all if empty";
  return {policy,
          scenario,
          Number("hosts", "entry hosts", "9", 1, kMostHosts),
          Number("domains", "failure domains", "3", 1, kMostHosts),
          Number("budgets", "budgets", "10", 1, kMostBudgets),
          Number("rate", "requests a second; 0 for the target's share of hosts",
                 "0", 0, kMostRate),
          Number("flush", "seconds between flushes", "1", 1, kMostSeconds),
          Number("counters", "seconds between writes of counters", "0", 0,
                 kMostSeconds),
          Number("warm", "seconds before requests are counted", "300", 0,
                 kMostSeconds),
          Number("seconds", "counted seconds; 0 for the scenario's own", "0", 0,
                 kMostSeconds),
          Number("stray",
                 "requests of budgets that are not busy which come outside "
                 "their home domain, in percent",
                 "1", 0, kMostPercent),
          Number("seed", "seed of trace and faults", "1", 0, kMostSeed)};
}

void PrintHead() {
  std::cout << "scenario  policy    overspent  false%  last2%  unusable% | "
               "writes/s account shard bills | reads/s | B/s mean     max | "
               "MB max | stranded/death | sums\n";
}

void PrintRow(const ScenarioPlan& plan, Policy policy, const RunFigures& it) {
  const auto rate = [&](std::uint64_t n) {
    return static_cast<double>(n) / it.counted_seconds;
  };
  std::cout << std::fixed << std::left << std::setw(10) << NameOf(plan.scenario)
            << std::setw(9) << NameOf(policy) << std::right << std::setw(10)
            << it.overspent << std::setprecision(3) << std::setw(8)
            << it.all.Percent() << std::setw(8) << it.at_end.Percent()
            << std::setw(11) << it.unusable_percent << " | "
            << std::setprecision(1) << std::setw(8) << rate(it.load.Writes())
            << std::setw(8) << rate(it.load.account_writes) << std::setw(6)
            << rate(it.load.shard_writes) << std::setw(6)
            << rate(it.load.bill_writes) << " | " << std::setw(7)
            << rate(it.load.reads) << " | " << std::setprecision(0)
            << std::setw(8) << it.mean_bytes_s << std::setw(8)
            << it.most_bytes_s << " | " << std::setprecision(2) << std::setw(6)
            << static_cast<double>(it.most_memory_bytes) / kMegabyte << " | "
            << std::setw(14) << std::setprecision(0)
            << (it.deaths > 0 ? static_cast<double>(it.stranded) / it.deaths
                              : 0)
            << " | " << (it.violated.empty() ? "hold" : it.violated)
            << std::endl;
}

// The policies, or scenarios, that a setting names; nothing if it is wrong.
template <typename Kind, typename Parse>
std::vector<Kind> Chosen(const std::string& name, int count, Parse parse) {
  std::vector<Kind> chosen;
  if (name.empty()) {
    for (int n = 0; n < count; ++n)
      chosen.push_back(static_cast<Kind>(n));
  } else if (std::optional<Kind> it = parse(name)) {
    chosen.push_back(*it);
  }
  return chosen;
}

FleetSize SizeOf(const SettingsTable& table) {
  FleetSize size;
  size.hosts = static_cast<std::size_t>(table.Integer("hosts"));
  size.domains =
      std::min(size.hosts, static_cast<std::size_t>(table.Integer("domains")));
  size.budgets = static_cast<std::size_t>(table.Integer("budgets"));
  size.rate = static_cast<double>(table.Integer("rate"));
  if (size.rate <= 0)
    size.rate = kHostRate * static_cast<double>(size.hosts);
  size.flush_seconds = static_cast<double>(table.Integer("flush"));
  size.counters_seconds = static_cast<double>(table.Integer("counters"));
  size.stray_share = static_cast<double>(table.Integer("stray")) / kMostPercent;
  size.seed = static_cast<std::uint64_t>(table.Integer("seed"));
  return size;
}

int RunMeasure(int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    if (std::string_view(argv[n]) == "--help") {
      std::cout << SettingsHelp(MeasureSpecs());
      return 0;
    }
  }
  Reason reason;
  std::optional<SettingsTable> table = SettingsTable::Read(
      MeasureSpecs(), argc, argv, ProcessEnvironment(), &reason);
  if (!table) {
    std::cerr << reason.text << "\n";
    return 1;
  }
  const std::vector<Policy> policies =
      Chosen<Policy>(table->Text("policy"), kPolicies, PolicyOf);
  const std::vector<Scenario> scenarios =
      Chosen<Scenario>(table->Text("scenario"), kScenarios, ScenarioOf);
  if (policies.empty() || scenarios.empty()) {
    std::cerr << "no such policy or scenario\n";
    return 1;
  }
  const FleetSize size = SizeOf(*table);
  std::cout << size.hosts << " hosts, " << size.domains << " domains, "
            << size.budgets << " budgets, " << std::setprecision(4) << size.rate
            << " requests/s, flush " << size.flush_seconds << " s, counters "
            << size.counters_seconds << " s, stray "
            << size.stray_share * kMostPercent << "%, seed " << size.seed
            << "\n";
  PrintHead();
  bool clean = true;
  for (Scenario scenario : scenarios) {
    const ScenarioPlan plan =
        PlanOf(scenario, static_cast<double>(table->Integer("warm")),
               static_cast<double>(table->Integer("seconds")));
    for (Policy policy : policies) {
      const RunFigures figures = BudgetRun(policy, plan, size).Go();
      PrintRow(plan, policy, figures);
      clean = clean && figures.overspent == 0 && figures.violated.empty();
    }
  }
  return clean ? 0 : 1;
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunMeasure(argc, argv);
}
