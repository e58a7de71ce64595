// The faults of a run and the sizes of its budgets.

#ifndef SRC_APPS_MEASURE_BUDGET_SCENARIO_H_
#define SRC_APPS_MEASURE_BUDGET_SCENARIO_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericwinch {

enum class Scenario {
  kCalm,
  // The platform is unavailable for an hour; budgets have an hour of demand
  // left.
  kOutage,
  // A failure domain is partitioned from the platform for four hours; all
  // budgets are topped up twice.
  kPartition,
  // The 25 host crashes of a day.
  kDeaths,
  // All budgets are used up half-way through the run.
  kEnd,
};

inline constexpr int kScenarios = 5;

std::string_view NameOf(Scenario scenario);
std::optional<Scenario> ParseScenario(std::string_view name);

// Requests are counted for `counted_seconds` after `warm_seconds`. The fault
// lasts for the same time.
struct ScenarioPlan {
  Scenario scenario = Scenario::kCalm;
  double warm_seconds = 0;
  double counted_seconds = 0;

  // Tokens paid for a budget in total, and tokens of it spent before the run,
  // for a demand in tokens per second. The latter is a multiple of `domains`.
  std::int64_t PaidFor(double demand) const;
  std::int64_t InitialSpentFor(double demand, std::size_t domains) const;
};

// `seconds` replaces the scenario's counted time if it is above 0.
ScenarioPlan MakePlan(Scenario scenario, double warm_seconds, double seconds);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_SCENARIO_H_
