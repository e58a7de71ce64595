// Policies that choose a target, the baselines and the daemon's own.

#ifndef SRC_APPS_MEASURE_ROUTING_POLICY_H_
#define SRC_APPS_MEASURE_ROUTING_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "apps/measure_routing/workload.h"

namespace turmericwinch {

enum class PolicyKind {
  kRandom,
  kRoundRobin,
  kLeastInFlight,
  kTwoChoices,
  kTableAnswersOnly,
  kTableWithReports,
  // Reports of one target after the other, as many as the bytes allow.
  kTablePolled,
};

inline constexpr int kPolicyKinds = 7;

std::string_view NameOf(PolicyKind kind);

// A load report of all targets.
struct FleetReport {
  double taken = 0;
  std::vector<std::size_t> in_flight;
  std::vector<double> waiting_prompt;
};

// What one host does. All times are simulated seconds.
struct Policy {
  std::function<std::size_t(Job&, double now)> choose;
  std::function<void(Job&, double now)> first = [](Job&, double) {};
  std::function<void(Job&, double now)> done = [](Job&, double) {};
  std::function<void(const FleetReport&, double now)> report =
      [](const FleetReport&, double) {};
};

// The table of one of `hosts`, for targets that are all configured alike.
std::unique_ptr<TargetTable> MakeModelTable(std::size_t host,
                                            std::size_t targets,
                                            std::size_t hosts);
// What the choice knows of a job; of no team.
RoutingRequest WishOf(const Job& job);
TargetTable::TimePoint ModelTime(double seconds);

// `speeds` are the targets' speeds, 1 for full.
Policy MakePolicy(PolicyKind kind,
                  std::size_t host,
                  const std::vector<double>& speeds);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_POLICY_H_
