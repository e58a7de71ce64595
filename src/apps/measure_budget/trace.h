// The requests that every policy gets, from a seed.

#ifndef SRC_APPS_MEASURE_BUDGET_TRACE_H_
#define SRC_APPS_MEASURE_BUDGET_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "apps/measure_budget/fleet_size.h"

namespace turmericwinch {

// One request. Seconds and tokens; `bound` is reserved, `used` is billed.
struct TraceRequest {
  std::uint64_t id = 0;
  double arrival = 0;
  std::size_t host = 0;
  std::size_t budget = 0;
  std::int64_t bound = 0;
  std::int64_t used = 0;
};

// Exponential gaps; most budgets are rare and drawn on from their home domain,
// the busiest from all.
class Trace {
 public:
  explicit Trace(const FleetSize& size);

  TraceRequest Next();
  // Tokens a second that a budget's requests use on average.
  double DemandOf(std::size_t budget) const;
  const std::vector<std::string>& names() const { return names_; }

 private:
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::size_t Below(std::size_t n);
  std::size_t DomainFor(std::size_t budget);

  FleetSize size_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<double> shares_;
  std::discrete_distribution<std::size_t> popularity_;
  TraceRequest last_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_TRACE_H_
