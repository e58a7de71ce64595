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

void CallCounter::AddUnanswered(PlatformDuty duty, PlatformCallKind kind) {
  ++unanswered_[IndexOf(duty, kind)];
}

std::uint64_t CallCounter::CountUnanswered(PlatformDuty duty,
                                           PlatformCallKind kind) const {
  return unanswered_[IndexOf(duty, kind)];
}

std::string ToText(const CallCounter& counter) {
  std::string text;
  for (int n = 0; n < kPlatformDuties * kPlatformCallKinds; ++n) {
    const auto duty = static_cast<PlatformDuty>(n / kPlatformCallKinds);
    const auto kind = static_cast<PlatformCallKind>(n % kPlatformCallKinds);
    const std::uint64_t calls = counter.Count(duty, kind);
    if (calls == 0)
      continue;
    text += text.empty() ? "" : ",";
    text += std::string(NameOf(duty)) + "_" + std::string(NameOf(kind)) + ":" +
            std::to_string(calls) + "/" +
            std::to_string(counter.CountUnanswered(duty, kind));
  }
  return text;
}

}  // namespace turmericwinch
