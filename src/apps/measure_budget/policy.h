// The policies that are compared.

#ifndef SRC_APPS_MEASURE_BUDGET_POLICY_H_
#define SRC_APPS_MEASURE_BUDGET_POLICY_H_

#include <memory>
#include <optional>
#include <string_view>

#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/host_parts.h"
#include "apps/measure_budget/truth_ledger.h"

namespace turmericwinch {

enum class Policy {
  // Knows all at once; not a design.
  kPerfect,
  // One conditional write for each request.
  kChecked,
  // An equal fixed share of each budget for each host.
  kSplit,
  // Each host draws for itself.
  kGrants,
  // One host for each bucket and domain draws, and lends to the others.
  kLending,
};

inline constexpr int kPolicies = 5;

std::string_view NameOf(Policy policy);
std::optional<Policy> PolicyOf(std::string_view name);

// `replacement` is true for a host that follows a dead one.
std::shared_ptr<HostModel> MakeHost(Policy policy,
                                    HostParts parts,
                                    bool replacement,
                                    const TruthLedger& truth);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_POLICY_H_
