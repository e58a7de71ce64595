// Counts calls to the platform by duty and call kind.

#ifndef SRC_LIBS_PLATFORM_CALL_COUNTER_H_
#define SRC_LIBS_PLATFORM_CALL_COUNTER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "libs/platform/platform_client.h"

namespace turmericwinch {

enum class PlatformCallKind { kRead, kWrite, kWatch };
inline constexpr int kPlatformCallKinds = 3;

// Names as they appear in metrics and dumps.
std::string_view NameOf(PlatformDuty duty);
std::string_view NameOf(PlatformCallKind kind);

// Safe from any thread.
class CallCounter {
 public:
  void Add(PlatformDuty duty, PlatformCallKind kind);
  std::uint64_t Count(PlatformDuty duty, PlatformCallKind kind) const;
  // Calls that ended without an answer, or with an error of the platform.
  void AddUnanswered(PlatformDuty duty, PlatformCallKind kind);
  std::uint64_t CountUnanswered(PlatformDuty duty, PlatformCallKind kind) const;

 private:
  using Counts = std::array<std::atomic<std::uint64_t>,
                            kPlatformDuties * kPlatformCallKinds>;

  Counts counts_{};
  Counts unanswered_{};
};

// The counts that are not zero, as DUTY_KIND:CALLS/UNANSWERED, separated by
// commas.
std::string ToText(const CallCounter& counter);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_CALL_COUNTER_H_
