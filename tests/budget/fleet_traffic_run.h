// Simulates requests at the hosts of a fleet that draw from one account, with
// a clock of its own.

#ifndef TESTS_BUDGET_FLEET_TRAFFIC_RUN_H_
#define TESTS_BUDGET_FLEET_TRAFFIC_RUN_H_

#include <cstdint>
#include <memory>

namespace turmericwinch {

struct FleetTrafficOptions {
  int hosts = 0;
  int domains = 0;
  std::uint64_t seed = 0;
  // Requests per second at each host.
  double request_rate = 0;
  // Hosts whose process stops for good when the requests begin, counted from
  // the first.
  int stopped_hosts = 0;
};

struct FleetTrafficResult {
  int requests = 0;
  // Requests that got no tokens within kGrantWait.
  int refused = 0;
  int store_calls = 0;
  // Writes that were lost to another host.
  int conflicts = 0;
  // Largest excess of the tokens used from a budget over those paid.
  std::int64_t overspent = 0;
};

// Each host runs the calls of a sync one after another. A call takes 4 ms and
// the time that the account takes on a link of 10 Mbit/s. A message between two
// hosts takes 1 ms.
class FleetTrafficRun {
 public:
  explicit FleetTrafficRun(const FleetTrafficOptions& options);
  ~FleetTrafficRun();

  FleetTrafficResult Run();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FLEET_TRAFFIC_RUN_H_
