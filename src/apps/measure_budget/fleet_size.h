// The size of a simulated fleet.

#ifndef SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_
#define SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_

#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// `rate` is in requests per second over all hosts. Host n is in failure domain
// n % domains.
struct FleetSize {
  std::size_t hosts = 9;
  std::size_t domains = 3;
  std::size_t budgets = 10;
  double rate = 54;
  // Seconds between flushes of bills, and between writes of counters. Counters
  // are written with the first flush of bills after they are due.
  double flush_seconds = 1;
  double counters_seconds = 0;
  // For budgets that are not busy: the share of requests that arrive outside
  // the home domain of the budget.
  double stray_share = 0.01;
  std::uint64_t seed = 1;

  std::size_t DomainOf(std::size_t host) const { return host % domains; }
  std::size_t HostsIn(std::size_t domain) const {
    return (hosts + domains - 1 - domain) / domains;
  }
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_
