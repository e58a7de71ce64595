// The size of a modelled fleet.

#ifndef SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_
#define SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_

#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// `rate` is in requests a second, for all hosts together. Host n is in domain
// n % domains.
struct FleetSize {
  std::size_t hosts = 9;
  std::size_t domains = 3;
  std::size_t budgets = 10;
  double rate = 54;
  // Seconds between flushes of bills, and of counters: those go with the first
  // flush of bills after their time.
  double flush_seconds = 1;
  double counters_seconds = 0;
  // Share of the requests of a budget that is not busy which come outside its
  // home domain.
  double stray_share = 0.01;
  std::uint64_t seed = 1;

  std::size_t DomainOf(std::size_t host) const { return host % domains; }
  std::size_t HostsIn(std::size_t domain) const {
    return (hosts + domains - 1 - domain) / domains;
  }
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_FLEET_SIZE_H_
