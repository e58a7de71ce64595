// Hosts, engines and requests in simulated time.

#ifndef SRC_APPS_MEASURE_ROUTING_FLEET_MODEL_H_
#define SRC_APPS_MEASURE_ROUTING_FLEET_MODEL_H_

#include <cstdint>
#include <vector>

#include "apps/measure_routing/policy.h"

namespace turmericwinch {

// Samples of one run, in seconds.
struct FleetSamples {
  std::vector<double> first;
  std::vector<double> chat_first;
  std::vector<double> whole;
  std::vector<double> between;
  std::size_t lookups = 0;
  std::size_t cache_hits = 0;
};

// One run: requests a second of the whole fleet, age of the load reports in
// seconds.
struct FleetRun {
  PolicyKind kind = PolicyKind::kRandom;
  std::size_t hosts = 1;
  double rate = 1;
  double lag = 0;
  std::uint64_t seed = 0;
};

FleetSamples RunFleet(const FleetRun& run);

// Requests a second that the fleet finishes when each target always has work
// and requests are spread without regard to caches.
double MeasureCapacity(std::uint64_t seed);

// Speeds of that many targets.
std::vector<double> ModelSpeeds(std::size_t targets);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_FLEET_MODEL_H_
