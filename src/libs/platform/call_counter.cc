#include "libs/platform/call_counter.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kDutyNames[] = {
    "config", "budget", "bills", "claims", "hosts", "operator", "caches"};
constexpr std::string_view kKindNames[] = {"read", "write", "watch"};

int IndexOf(PlatformDuty duty, PlatformCallKind kind) {
  return static_cast<int>(duty) * kPlatformCallKinds + static_cast<int>(kind);
}

}  // namespace

std::string_view NameOf(PlatformDuty duty) {
  return kDutyNames[static_cast<int>(duty)];
}

std::string_view NameOf(PlatformCallKind kind) {
  return kKindNames[static_cast<int>(kind)];
}

void CallCounter::Add(PlatformDuty duty, PlatformCallKind kind) {
  ++counts_[IndexOf(duty, kind)];
}

std::uint64_t CallCounter::Count(PlatformDuty duty,
                                 PlatformCallKind kind) const {
  return counts_[IndexOf(duty, kind)];
}

}  // namespace turmericwinch
