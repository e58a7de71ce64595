// Seeded requests of both kinds.

#ifndef SRC_APPS_MEASURE_ROUTING_WORKLOAD_H_
#define SRC_APPS_MEASURE_ROUTING_WORKLOAD_H_

#include <cstdint>
#include <random>

#include "libs/routing/target_table.h"

namespace turmericwinch {

// One request on its way. Times are simulated seconds.
struct Job {
  bool lookup = false;
  std::size_t manifest = 0;
  double prompt = 0;
  double shared = 0;
  int output = 0;
  std::size_t host = 0;
  std::size_t target = 0;
  std::size_t team = 0;
  double arrival = 0;
  double sent = 0;
  double first = 0;
  double last = 0;
  double unread = 0;
  int produced = 0;
  bool cache_known = false;
  bool cache_hit = false;
  TargetChoice choice;
};

// Draws requests: exponential gaps, lookups of manifests by a Zipf-like law.
class Workload {
 public:
  // Requests come to one of `hosts` at random.
  Workload(std::uint64_t seed, std::size_t hosts);
  // The next request after `now` at `rate` requests a second.
  Job Next(double now, double rate);

 private:
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::mt19937_64 random_;
  std::size_t hosts_;
  std::discrete_distribution<std::size_t> manifests_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_WORKLOAD_H_
