#include "libs/node/shared_limits.h"

#include <chrono>
#include <utility>

namespace turmericwinch {

InFlightSlot::InFlightSlot(SharedLimits& limits, std::vector<std::string> names)
    : limits_(&limits), names_(std::move(names)) {}

InFlightSlot::InFlightSlot(InFlightSlot&& other) noexcept
    : limits_(std::exchange(other.limits_, nullptr)),
      names_(std::move(other.names_)) {}

InFlightSlot::~InFlightSlot() {
  if (limits_)
    limits_->Release(names_);
}

void SharedLimits::SetLiveHosts(int hosts) {
  std::lock_guard lock(mutex_);
  limiter_.SetLiveHosts(hosts);
}

std::optional<InFlightSlot> SharedLimits::Admit(
    const std::vector<const LimitConfig*>& limits,
    std::int64_t tokens,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  auto names =
      limiter_.Admit(limits, tokens, std::chrono::steady_clock::now(), reason);
  if (!names)
    return std::nullopt;
  return InFlightSlot(*this, std::move(*names));
}

void SharedLimits::Release(const std::vector<std::string>& names) {
  std::lock_guard lock(mutex_);
  limiter_.Release(names);
}

}  // namespace turmericwinch
