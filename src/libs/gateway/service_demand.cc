#include "libs/gateway/service_demand.h"

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

void ServiceDemand::RecordRequest(const std::string& service,
                                  MonotonicTime now) {
  std::lock_guard lock(mutex_);
  rates_.try_emplace(service, kServiceDemandWindow)
      .first->second.AddTokens(1, now);
}

std::map<std::string, double> ServiceDemand::Rates(MonotonicTime now) {
  std::lock_guard lock(mutex_);
  std::map<std::string, double> result;
  for (auto& [service, rate] : rates_) {
    rate.Decay(now);
    result[service] = rate.Value();
  }
  return result;
}

}  // namespace turmericwinch
