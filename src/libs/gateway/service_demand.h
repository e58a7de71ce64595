// Requests per second that callers send to each service at this host.

#ifndef SRC_LIBS_GATEWAY_SERVICE_DEMAND_H_
#define SRC_LIBS_GATEWAY_SERVICE_DEMAND_H_

#include <map>
#include <mutex>
#include <string>

#include "libs/budget/demand_rate.h"

namespace turmericwinch {

// Thread-safe.
class ServiceDemand {
 public:
  void RecordRequest(const std::string& service, MonotonicTime now);
  // Rates by service, averaged over kServiceDemandWindow.
  std::map<std::string, double> Rates(MonotonicTime now);

 private:
  std::mutex mutex_;
  std::map<std::string, DemandRate> rates_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_SERVICE_DEMAND_H_
