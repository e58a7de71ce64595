// The sequence of requests, generated from a seed, that every policy gets.

#ifndef SRC_APPS_MEASURE_BUDGET_TRACE_H_
#define SRC_APPS_MEASURE_BUDGET_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "apps/measure_budget/fleet_size.h"

namespace turmericwinch {

// One request. `arrival` is in seconds; `bound` tokens are reserved, and `used`
// tokens are billed.
struct TraceRequest {
  std::uint64_t id = 0;
  double arrival = 0;
  std::size_t host = 0;
  std::size_t budget = 0;
  std::int64_t bound = 0;
  std::int64_t used = 0;
};

// Requests arrive with exponentially distributed gaps. Most budgets have few
// requests, which arrive in the budget's home domain; requests of the busiest
// budgets arrive in all failure domains.
class Trace {
 public:
  explicit Trace(const FleetSize& size);

  TraceRequest NextRequest();
  // Mean tokens per second that the requests of a budget use.
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
