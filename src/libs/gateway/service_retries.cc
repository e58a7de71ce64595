#include "libs/gateway/service_retries.h"

#include <algorithm>

namespace turmericwinch {

void ServiceRetries::SetHosts(int hosts) {
  std::lock_guard lock(mutex_);
  hosts_ = std::max(hosts, kHostsUntilKnown);
  for (auto& [service, budget] : budgets_)
    budget.SetMaxRetries(slack_ / hosts_);
}

void ServiceRetries::OnRequest(const std::string& service) {
  std::lock_guard lock(mutex_);
  Of(service).OnRequest();
}

bool ServiceRetries::TakeRetry(const std::string& service) {
  std::lock_guard lock(mutex_);
  return Of(service).TakeRetry();
}

RetryBudget& ServiceRetries::Of(const std::string& service) {
  return budgets_.try_emplace(service, ratio_, slack_ / hosts_).first->second;
}

}  // namespace turmericwinch
