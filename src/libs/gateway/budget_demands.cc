#include "libs/gateway/budget_demands.h"

#include <chrono>
#include <cmath>

namespace turmericwinch {

namespace {

// Weight of the newest request in the moving average of the cost.
constexpr double kRequestWeight = 0.1;

}  // namespace

void BudgetDemands::RecordUsed(const std::string& budget,
                               std::int64_t used,
                               MonotonicTime now) {
  Demand& demand = demands_[budget];
  demand.rate.Decay(now);
  if (used <= demand.used)
    return;
  demand.rate.AddTokens(used - demand.used, now);
  demand.used = used;
}

void BudgetDemands::RecordRequestCost(const std::string& budget,
                                      std::int64_t tokens) {
  double& average = demands_[budget].request_cost;
  const auto cost = static_cast<double>(tokens);
  average = average == 0 ? cost : average + kRequestWeight * (cost - average);
}

double BudgetDemands::Rate(const std::string& budget, MonotonicTime now) const {
  auto it = demands_.find(budget);
  const std::chrono::duration<double> age = now - start_;
  if (it == demands_.end() || age.count() <= 0)
    return 0;
  const std::chrono::duration<double> window = kDemandWindow;
  return it->second.rate.Value() / (1 - std::exp(-age / window));
}

double BudgetDemands::AverageRequestCost(const std::string& budget) const {
  auto it = demands_.find(budget);
  return it == demands_.end() ? 0 : it->second.request_cost;
}

}  // namespace turmericwinch
