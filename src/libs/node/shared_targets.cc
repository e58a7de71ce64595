#include "libs/node/shared_targets.h"

namespace turmericwinch {

SharedTargets::SharedTargets(std::string failure_domain)
    : table_(std::move(failure_domain)) {}

void SharedTargets::Update(const HostList& list, const ConfigSnapshot& config) {
  std::lock_guard lock(mutex_);
  table_.Update(list, config);
}

std::optional<TargetChoice> SharedTargets::Begin(
    const std::string& service,
    const std::set<std::string>& excluded,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  return table_.Begin(service, excluded, reason);
}

void SharedTargets::End(const TargetChoice& choice) {
  std::lock_guard lock(mutex_);
  table_.End(choice);
}

std::vector<TargetFigures> SharedTargets::Figures() const {
  std::lock_guard lock(mutex_);
  return table_.Figures();
}

}  // namespace turmericwinch
