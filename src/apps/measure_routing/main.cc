// Measures the choice of targets against plain policies on a queueing model.

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "apps/measure_routing/fleet_model.h"
#include "apps/measure_routing/flood_model.h"
#include "apps/measure_routing/model_constants.h"

#include "libs/base/settings_table.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMostSeed = 1'000'000;
constexpr std::int64_t kMostHosts = 1'000;
constexpr std::int64_t kMostTargets = 2'000;
constexpr std::int64_t kMostFlood = 10'000;
constexpr double kPercent = 0.01;
constexpr int kCostTargets = 300;
constexpr int kCostChoices = 300'000;
constexpr double kMicroseconds = 1e6;
constexpr double kMilliseconds = 1e3;

std::vector<SettingSpec> MeasureSpecs() {
  return {{.name = "seed",
           .type = SettingType::kInteger,
           .label = "seed of the workload",
           .default_value = "1",
           .least = 0,
           .most = kMostSeed},
          {.name = "hosts",
           .type = SettingType::kInteger,
           .label = "entry hosts of the failure domain",
           .default_value = "8",
           .least = 1,
           .most = kMostHosts},
          {.name = "targets",
           .type = SettingType::kInteger,
           .label = "targets of the failure domain beside a flood",
           .default_value = "24",
           .least = 1,
           .most = kMostTargets},
          {.name = "flood",
           .type = SettingType::kInteger,
           .label = "one team's flood, in place of the policies, 0 for none",
           .unit = "% of the capacity",
           .default_value = "0",
           .least = 0,
           .most = kMostFlood}};
}

double Percentile(std::vector<double> samples, double share) {
  if (samples.empty())
    return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(share * last)];
}

std::string Percentiles(const std::vector<double>& samples, double unit = 1) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(unit == 1 ? 2 : 1);
  for (double it : {0.5, 0.95, 0.99})
    text << std::setw(8) << Percentile(samples, it) * unit;
  return text.str();
}

void PrintRun(const FleetRun& settings, double load) {
  const FleetSamples run = RunFleet(settings);
  const double hits =
      static_cast<double>(run.cache_hits) /
      static_cast<double>(std::max<std::size_t>(run.lookups, 1));
  std::cout << std::fixed << std::setprecision(0) << std::setw(3) << load * 100
            << "% " << std::setw(2) << settings.lag << "s " << std::left
            << std::setw(16) << NameOf(settings.kind) << std::right << " |"
            << Percentiles(run.first) << " |" << Percentiles(run.chat_first)
            << " |" << Percentiles(run.whole) << " |" << std::setprecision(1)
            << std::setw(6) << Percentile(run.between, 0.95) * 1000 << " |"
            << std::setprecision(2) << std::setw(5) << hits << "\n";
}

// Microseconds of one choice and its end among kCostTargets.
double ChoiceCost() {
  const Policy policy = MakePolicy(PolicyKind::kTableWithReports, 0,
                                   std::vector<double>(kCostTargets, 1));
  Workload workload(1, 1);
  std::vector<Job> jobs;
  for (int n = 0; n < kCostChoices; ++n)
    jobs.push_back(workload.Next(0, 1));
  const auto start = std::chrono::steady_clock::now();
  for (Job& it : jobs) {
    policy.choose(it, 1);
    policy.first(it, 1.5);
    policy.done(it, 2);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() * kMicroseconds / kCostChoices;
}

void PrintFlood(const char* name, const FloodRun& settings) {
  const FloodSamples run = RunFlood(settings);
  std::cout << std::left << std::setw(16) << name << std::right << " |"
            << Percentiles(run.calm_first, kMilliseconds) << " |"
            << std::setw(7) << run.calm_done << std::setw(7) << run.calm_refused
            << " |" << Percentiles(run.flood_first, kMilliseconds) << " |"
            << std::setw(7) << run.flood_done << std::setw(7)
            << run.flood_refused << "\n";
}

// Calm teams alone, and beside a flood without and with the learnt limits.
// `load` is the flood's share of the capacity.
void MeasureFlood(FloodRun run, double capacity, double load) {
  const double fleet = capacity * static_cast<double>(run.targets) /
                       static_cast<double>(kModelTargets);
  run.calm_rate = kCalmLoad * fleet;
  std::cout << "run | calm teams' first token p50 p95 p99 ms | answered, "
            << "refused | the flood's | answered, refused\n";
  PrintFlood("alone", run);
  run.flood_rate = load * fleet;
  PrintFlood("flood", run);
  run.limited = true;
  PrintFlood("flood, limited", run);
}

int RunMeasure(int argc, char** argv) {
  Reason reason;
  std::optional<SettingsTable> table = SettingsTable::Read(
      MeasureSpecs(), argc, argv, ProcessEnvironment(), &reason);
  if (!table) {
    std::cerr << reason.text << "\n";
    return 1;
  }
  const auto seed = static_cast<std::uint64_t>(table->Integer("seed"));
  const auto hosts = static_cast<std::size_t>(table->Integer("hosts"));
  const double capacity = MeasureCapacity(seed);
  const auto flood = static_cast<double>(table->Integer("flood")) * kPercent;
  if (flood > 0) {
    FloodRun run;
    run.hosts = hosts;
    run.targets = static_cast<std::size_t>(table->Integer("targets"));
    run.seed = seed;
    MeasureFlood(run, capacity, flood);
    return 0;
  }
  std::cout << "capacity " << capacity << " requests/s; choice, first token "
            << "and end among " << kCostTargets << " targets "
            << std::setprecision(3) << ChoiceCost() << " us\n"
            << "load lag policy | first token p50 p95 p99 s | of chats | whole "
            << "| between tokens p95 ms | cache-hit share\n";
  for (double load : {0.5, 0.8, 0.95}) {
    for (double lag : {0.0, 1.0, 5.0}) {
      for (int n = 0; n < kPolicyKinds; ++n)
        PrintRun(
            {static_cast<PolicyKind>(n), hosts, load * capacity, lag, seed},
            load);
    }
  }
  return 0;
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunMeasure(argc, argv);
}
