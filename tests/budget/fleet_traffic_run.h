// Simulates requests at the hosts of a fleet that draw from one account, with
// a clock of its own.

#ifndef TESTS_BUDGET_FLEET_TRAFFIC_RUN_H_
#define TESTS_BUDGET_FLEET_TRAFFIC_RUN_H_

#include <chrono>
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
  // Hosts with a link of 200 Mbit/s, counted from the first.
  int strong_hosts = 0;
  // Tokens paid for each team.
  std::int64_t paid = 20'000'000;
  // Whether all hosts lost power together before the run: the account has the
  // rows of their earlier incarnations, and requests come from 1 s on.
  bool after_power_loss = false;
  // Time for which the store answers no host, from 3 s after the first request
  // on. The run ends some seconds later.
  std::chrono::milliseconds outage{0};
};

struct FleetTrafficResult {
  int requests = 0;
  // Requests that got no tokens within kGrantWait.
  int refused = 0;
  // The same for requests that came later than 1 s after the outage.
  int requests_after_outage = 0;
  int refused_after_outage = 0;
  int store_calls = 0;
  // When the requests begin: hosts that the account lists, and calls so far.
  int registered_at_start = 0;
  int calls_at_start = 0;
  // Writes that were lost to another host.
  int conflicts = 0;
  // Largest excess of the tokens used from a budget over those paid.
  std::int64_t overspent = 0;
};

// Each host runs the calls of a sync one after another. A call takes 4 ms and
// the time that the account takes on the host's link, of 10 Mbit/s for most
// hosts. A message between two hosts takes 1 ms.
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
