#include "libs/gateway/budget_demands.h"

#include <chrono>
#include <cmath>

namespace turmericwinch {

namespace {

// Weight of one request in the average cost.
constexpr double kRequestWeight = 0.1;

}  // namespace

void BudgetDemands::NoteUsed(const std::string& budget,
                             std::int64_t used,
                             MonotonicTime now) {
  Demand& demand = demands_[budget];
  demand.rate.Decay(now);
  if (used <= demand.used)
    return;
  demand.rate.AddTokens(used - demand.used, now);
  demand.used = used;
}

void BudgetDemands::NoteCost(const std::string& budget, std::int64_t tokens) {
  double& request = demands_[budget].request;
  const auto cost = static_cast<double>(tokens);
  request = request == 0 ? cost : request + kRequestWeight * (cost - request);
}

double BudgetDemands::Rate(const std::string& budget, MonotonicTime now) const {
  auto it = demands_.find(budget);
  const std::chrono::duration<double> age = now - start_;
  if (it == demands_.end() || age.count() <= 0)
    return 0;
  const std::chrono::duration<double> window = kFleetRateWindow;
  return it->second.rate.Value() / (1 - std::exp(-age / window));
}

double BudgetDemands::RequestCost(const std::string& budget) const {
  auto it = demands_.find(budget);
  return it == demands_.end() ? 0 : it->second.request;
}

}  // namespace turmericwinch
