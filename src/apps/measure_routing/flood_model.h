// One team's flood beside calm teams, in simulated time.

#ifndef SRC_APPS_MEASURE_ROUTING_FLOOD_MODEL_H_
#define SRC_APPS_MEASURE_ROUTING_FLOOD_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace turmericwinch {

// Rates are in requests a second of the whole fleet. Without `limited`, hosts
// send as long as targets have configured room.
struct FloodRun {
  std::size_t hosts = 1;
  std::size_t targets = 1;
  double calm_rate = 1;
  double flood_rate = 0;
  bool limited = false;
  std::uint64_t seed = 0;
};

// First tokens in seconds from arrival at the host; answered and refused
// requests after the warm-up.
struct FloodSamples {
  std::vector<double> calm_first;
  std::vector<double> flood_first;
  std::size_t calm_done = 0;
  std::size_t flood_done = 0;
  std::size_t calm_refused = 0;
  std::size_t flood_refused = 0;
};

FloodSamples RunFlood(const FloodRun& run);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_FLOOD_MODEL_H_
