// Compares policies of drawing on budgets. Simulates a fleet with the decision
// code of libs/budget.

#include <iomanip>
#include <iostream>

#include "apps/measure_budget/budget_run.h"
#include "apps/measure_budget/model_constants.h"
#include "libs/base/settings_table.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMaxSeed = 1'000'000;
constexpr std::int64_t kMaxHosts = 2'000;
constexpr std::int64_t kMaxBudgets = 100'000;
constexpr std::int64_t kMaxSeconds = 24 * 3'600;
constexpr std::int64_t kMaxRate = 100'000;
constexpr std::int64_t kMaxPercent = 100;
constexpr double kMegabyte = 1e6;

SettingSpec Number(std::string name,
                   std::string label,
                   std::string default_value,
                   std::int64_t min_value,
                   std::int64_t max_value) {
  SettingSpec spec;
  spec.name = std::move(name);
  spec.type = SettingType::kInteger;
  spec.label = std::move(label);
  spec.default_value = std::move(default_value);
  spec.least = min_value;
  spec.most = max_value;
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
          Number("hosts", "entry hosts", "9", 1, kMaxHosts),
          Number("domains", "failure domains", "3", 1, kMaxHosts),
          Number("budgets", "budgets", "10", 1, kMaxBudgets),
          Number("rate",
                 "requests per second; 0 for the target rate of as many hosts",
                 "0", 0, kMaxRate),
          Number("flush", "seconds between flushes", "1", 1, kMaxSeconds),
          Number("counters", "seconds between writes of counters", "0", 0,
                 kMaxSeconds),
          Number("warm", "seconds before requests are counted", "300", 0,
                 kMaxSeconds),
          Number("seconds", "counted seconds; 0 for the scenario's own", "0", 0,
                 kMaxSeconds),
          Number("stray",
                 "percentage of the requests of budgets that are not busy "
                 "which arrive outside their home domain",
                 "1", 0, kMaxPercent),
          Number("seed", "seed of trace and faults", "1", 0, kMaxSeed)};
}

void PrintHead() {
  std::cout << "scenario  policy    overspent  false%  last2%  unusable% | "
               "writes/s account shard bills | reads/s | B/s mean     max | "
               "MB max | stranded/death | sums\n";
}

void PrintRow(const ScenarioPlan& plan, Policy policy, const RunResults& it) {
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
            << std::setw(8) << it.mean_bytes_per_second << std::setw(8)
            << it.max_bytes_per_second << " | " << std::setprecision(2)
            << std::setw(6)
            << static_cast<double>(it.max_memory_bytes) / kMegabyte << " | "
            << std::setw(14) << std::setprecision(0)
            << (it.crashes > 0 ? static_cast<double>(it.stranded) / it.crashes
                               : 0)
            << " | " << (it.failed_check.empty() ? "hold" : it.failed_check)
            << std::endl;
}

// The policies or scenarios that a setting selects; empty if the name is
// unknown.
template <typename Kind, typename Parse>
std::vector<Kind> ParseChoice(const std::string& name, int count, Parse parse) {
  std::vector<Kind> choices;
  if (name.empty()) {
    for (int n = 0; n < count; ++n)
      choices.push_back(static_cast<Kind>(n));
  } else if (std::optional<Kind> it = parse(name)) {
    choices.push_back(*it);
  }
  return choices;
}

FleetSize ParseFleetSize(const SettingsTable& table) {
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
  size.stray_share = static_cast<double>(table.Integer("stray")) / kMaxPercent;
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
      ParseChoice<Policy>(table->Text("policy"), kPolicies, ParsePolicy);
  const std::vector<Scenario> scenarios =
      ParseChoice<Scenario>(table->Text("scenario"), kScenarios, ParseScenario);
  if (policies.empty() || scenarios.empty()) {
    std::cerr << "unknown policy or scenario\n";
    return 1;
  }
  const FleetSize size = ParseFleetSize(*table);
  std::cout << size.hosts << " hosts, " << size.domains << " domains, "
            << size.budgets << " budgets, " << std::setprecision(4) << size.rate
            << " requests/s, flush " << size.flush_seconds << " s, counters "
            << size.counters_seconds << " s, stray "
            << size.stray_share * kMaxPercent << "%, seed " << size.seed
            << "\n";
  PrintHead();
  bool clean = true;
  for (Scenario scenario : scenarios) {
    const ScenarioPlan plan =
        MakePlan(scenario, static_cast<double>(table->Integer("warm")),
                 static_cast<double>(table->Integer("seconds")));
    for (Policy policy : policies) {
      const RunResults results = BudgetRun(policy, plan, size).Run();
      PrintRow(plan, policy, results);
      clean = clean && results.overspent == 0 && results.failed_check.empty();
    }
  }
  return clean ? 0 : 1;
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunMeasure(argc, argv);
}
