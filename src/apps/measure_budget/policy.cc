#include "apps/measure_budget/policy.h"

#include <array>
#include <utility>

#include "apps/measure_budget/checked_host.h"
#include "apps/measure_budget/grant_host.h"
#include "apps/measure_budget/lending_host.h"
#include "apps/measure_budget/perfect_host.h"
#include "apps/measure_budget/split_host.h"

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, kPolicies> kNames = {
    "perfect", "checked", "split", "grants", "lending"};

}  // namespace

std::string_view NameOf(Policy policy) {
  return kNames[static_cast<std::size_t>(policy)];
}

std::optional<Policy> ParsePolicy(std::string_view name) {
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    if (kNames[n] == name)
      return static_cast<Policy>(n);
  }
  return std::nullopt;
}

std::shared_ptr<HostModel> MakeHost(Policy policy,
                                    HostParts parts,
                                    bool replacement,
                                    const ReferenceLedger& reference) {
  switch (policy) {
    case Policy::kChecked:
      return std::make_shared<CheckedHost>(std::move(parts));
    case Policy::kSplit:
      return std::make_shared<SplitHost>(std::move(parts), replacement);
    case Policy::kGrants:
      return std::make_shared<GrantHost>(std::move(parts));
    case Policy::kLending:
      return std::make_shared<LendingHost>(std::move(parts));
    case Policy::kPerfect:
      break;
  }
  return std::make_shared<PerfectHost>(reference);
}

}  // namespace turmericwinch
