#include "libs/gateway/service_retries.h"

#include <algorithm>

namespace turmericwinch {

void ServiceRetries::SetHostCount(int hosts) {
  std::lock_guard lock(mutex_);
  hosts_ = std::max(hosts, kMinSharingHosts);
  for (auto& [service, budget] : budgets_)
    budget.SetMaxRetries(slack_ / hosts_);
}

void ServiceRetries::OnRequest(const std::string& service) {
  std::lock_guard lock(mutex_);
  BudgetOf(service).OnRequest();
}

bool ServiceRetries::TakeRetry(const std::string& service) {
  std::lock_guard lock(mutex_);
  return BudgetOf(service).TakeRetry();
}

RetryBudget& ServiceRetries::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, ratio_, slack_ / hosts_).first->second;
}

}  // namespace turmericwinch
