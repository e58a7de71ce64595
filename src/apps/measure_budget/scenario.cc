#include "apps/measure_budget/scenario.h"

#include <algorithm>
#include <array>

#include "apps/measure_budget/model_constants.h"

namespace turmericwinch {

namespace {

constexpr double kHour = 3'600;
constexpr double kMonth = 30 * 24 * kHour;

struct Row {
  std::string_view name;
  double counted_seconds;
};

constexpr std::array<Row, kScenarios> kRows = {{{"calm", 600},
                                                {"outage", kHour},
                                                {"partition", 4 * kHour},
                                                {"deaths", 600},
                                                {"end", 1'200}}};

}  // namespace

std::string_view NameOf(Scenario scenario) {
  return kRows[static_cast<std::size_t>(scenario)].name;
}

std::optional<Scenario> ParseScenario(std::string_view name) {
  for (std::size_t n = 0; n < kRows.size(); ++n) {
    if (kRows[n].name == name)
      return static_cast<Scenario>(n);
  }
  return std::nullopt;
}

std::int64_t ScenarioPlan::PaidFor(double demand) const {
  double tokens = kMonth * demand;
  if (scenario == Scenario::kEnd)
    tokens = (warm_seconds + counted_seconds / 2) * demand;
  // Adds tokens for a few requests, so that budgets with little demand can be
  // used at all.
  return static_cast<std::int64_t>(tokens + 4 * kMaxBound);
}

std::int64_t ScenarioPlan::InitialSpentFor(double demand,
                                           std::size_t domains) const {
  if (scenario != Scenario::kOutage)
    return 0;
  const double left = (warm_seconds + counted_seconds) * demand + 4 * kMaxBound;
  const std::int64_t initial_spent = std::max<std::int64_t>(
      PaidFor(demand) - static_cast<std::int64_t>(left), 0);
  return initial_spent - initial_spent % static_cast<std::int64_t>(domains);
}

ScenarioPlan MakePlan(Scenario scenario, double warm_seconds, double seconds) {
  const double counted =
      seconds > 0 ? seconds
                  : kRows[static_cast<std::size_t>(scenario)].counted_seconds;
  return {scenario, warm_seconds, counted};
}

}  // namespace turmericwinch
