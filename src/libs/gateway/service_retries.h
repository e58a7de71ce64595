// The retries that this host may make, by service.

#ifndef SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_
#define SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_

#include <map>
#include <mutex>
#include <string>

#include "libs/delivery/retry_budget.h"

namespace turmericwinch {

// Of what all hosts may make together, each takes what its own requests earn
// and an equal part of the rest. Safe from any thread.
class ServiceRetries {
 public:
  // `ratio` is earned by each request; `slack` is for all hosts.
  ServiceRetries(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  // Sets how many hosts share the slack.
  void SetHosts(int hosts);
  void OnRequest(const std::string& service);
  bool TakeRetry(const std::string& service);

 private:
  RetryBudget& Of(const std::string& service);

  std::mutex mutex_;
  double ratio_;
  double slack_;
  int hosts_ = kHostsUntilKnown;
  std::map<std::string, RetryBudget> budgets_;

  // Hosts that are taken to share the slack before they are known; today's
  // fleets have 8 or 9.
  static constexpr int kHostsUntilKnown = 10;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_
