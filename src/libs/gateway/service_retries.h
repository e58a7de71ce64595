// Limits the retries of this host, by service.

#ifndef SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_
#define SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_

#include <map>
#include <mutex>
#include <string>

#include "libs/delivery/retry_budget.h"

namespace turmericwinch {

// Each host may make the retries that its own requests add to the budget, and
// an equal part of the slack that all hosts share. Thread-safe.
class ServiceRetries {
 public:
  // Each request adds `ratio` retries. `slack` is shared by all hosts.
  ServiceRetries(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  // Sets the number of hosts that share the slack.
  void SetHostCount(int hosts);
  void OnRequest(const std::string& service);
  // Takes one retry from the service's budget. Returns false if none is left.
  bool TakeRetry(const std::string& service);

 private:
  RetryBudget& BudgetOf(const std::string& service);

  std::mutex mutex_;
  double ratio_;
  double slack_;
  int hosts_ = kMinSharingHosts;
  std::map<std::string, RetryBudget> budgets_;

  // Number of hosts that share the slack before it is set, and its lower bound.
  // Current fleets have 8 or 9 hosts.
  static constexpr int kMinSharingHosts = 10;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_SERVICE_RETRIES_H_
