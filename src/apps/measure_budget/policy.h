// The compared policies.

#ifndef SRC_APPS_MEASURE_BUDGET_POLICY_H_
#define SRC_APPS_MEASURE_BUDGET_POLICY_H_

#include <memory>
#include <optional>
#include <string_view>

#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/host_parts.h"
#include "apps/measure_budget/reference_ledger.h"

namespace turmericwinch {

enum class Policy {
  // Decides with global knowledge; a reference that cannot be built.
  kPerfect,
  // One conditional write per request.
  kChecked,
  // Each host has a fixed and equal share of each budget.
  kSplit,
  // Each host draws its own grants.
  kGrants,
  // One host per bucket and failure domain draws grants and lends to the
  // others.
  kLending,
};

inline constexpr int kPolicies = 5;

std::string_view NameOf(Policy policy);
std::optional<Policy> ParsePolicy(std::string_view name);

// `replacement` is true for a host that replaces one that crashed.
std::shared_ptr<HostModel> MakeHost(Policy policy,
                                    HostParts parts,
                                    bool replacement,
                                    const ReferenceLedger& reference);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_POLICY_H_
