#include "libs/node/config_holder.h"

namespace turmericwinch {

std::shared_ptr<const ConfigSnapshot> ConfigHolder::Get() const {
  std::lock_guard lock(mutex_);
  return snapshot_;
}

bool ConfigHolder::ActivateIfNewer(
    std::shared_ptr<const ConfigSnapshot> snapshot) {
  std::lock_guard lock(mutex_);
  if (snapshot_ && snapshot->generation() <= snapshot_->generation())
    return false;
  snapshot_ = std::move(snapshot);
  return true;
}

}  // namespace turmericwinch
