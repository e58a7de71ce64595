#include "libs/node/shared_limits.h"

#include <chrono>
#include <utility>

namespace turmericwinch {

LimitPass::LimitPass(SharedLimits& limits, std::vector<std::string> names)
    : limits_(&limits), names_(std::move(names)) {}

LimitPass::LimitPass(LimitPass&& other) noexcept
    : limits_(std::exchange(other.limits_, nullptr)),
      names_(std::move(other.names_)) {}

LimitPass::~LimitPass() {
  if (limits_)
    limits_->End(names_);
}

void SharedLimits::SetHosts(int hosts) {
  std::lock_guard lock(mutex_);
  gate_.SetLiveHosts(hosts);
}

std::optional<LimitPass> SharedLimits::Begin(
    const std::vector<const LimitConfig*>& limits,
    std::int64_t tokens,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  auto names =
      gate_.Admit(limits, tokens, std::chrono::steady_clock::now(), reason);
  if (!names)
    return std::nullopt;
  return LimitPass(*this, std::move(*names));
}

void SharedLimits::End(const std::vector<std::string>& names) {
  std::lock_guard lock(mutex_);
  gate_.Release(names);
}

}  // namespace turmericwinch
