// The faults of a run, and how large its budgets are.

#ifndef SRC_APPS_MEASURE_BUDGET_SCENARIO_H_
#define SRC_APPS_MEASURE_BUDGET_SCENARIO_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericwinch {

enum class Scenario {
  kCalm,
  // The platform is away for an hour; budgets have an hour's demand left.
  kOutage,
  // A domain is cut off for four hours; all budgets are topped up twice.
  kPartition,
  // The 25 deaths of a day.
  kDeaths,
  // All budgets run dry half-way.
  kEnd,
};

inline constexpr int kScenarios = 5;

std::string_view NameOf(Scenario scenario);
std::optional<Scenario> ScenarioOf(std::string_view name);

// Requests are counted from `warm_seconds` on, for `counted_seconds`; the
// fault lasts as long.
struct ScenarioPlan {
  Scenario scenario = Scenario::kCalm;
  double warm_seconds = 0;
  double counted_seconds = 0;

  // What was paid for a budget in all, and how much of it was spent before the
  // run, by its demand in tokens a second. The latter is a multiple of
  // `domains`.
  std::int64_t PaidFor(double demand) const;
  std::int64_t PastFor(double demand, std::size_t domains) const;
};

// `seconds` replaces the counted time if it is above 0.
ScenarioPlan PlanOf(Scenario scenario, double warm_seconds, double seconds);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_SCENARIO_H_
