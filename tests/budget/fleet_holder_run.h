// Simulated hosts that share one fleet account.

#ifndef TESTS_BUDGET_FLEET_HOLDER_RUN_H_
#define TESTS_BUDGET_FLEET_HOLDER_RUN_H_

#include <cstdint>

namespace turmericwinch {

// Tokens of the budget at the start of a run.
inline constexpr std::int64_t kFleetRunPaid = 30'000;

// Tokens used in a run, and the largest excess of the used tokens over the paid
// ones.
struct FleetHolderResult {
  std::int64_t used = 0;
  std::int64_t excess = 0;
};

// Lets hosts serve requests, lose contact to the store, lose responses and be
// killed, in a random order that depends on `seed`. With `has_restores`, the
// store also comes back from old copies.
FleetHolderResult RunFleetHolders(std::uint64_t seed, bool has_restores);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FLEET_HOLDER_RUN_H_
