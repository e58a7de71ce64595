// A platform in memory, for tests: versions, conditional writes, and faults.

#ifndef TESTS_BUDGET_FAKE_PLATFORM_H_
#define TESTS_BUDGET_FAKE_PLATFORM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "libs/budget/platform_call.h"

namespace turmericwinch {

enum class PlatformFault {
  kNone,
  // The call takes effect, its answer is lost.
  kAnswerLost,
  // The call does not take effect, and the caller cannot tell.
  kCallLost,
  // The call is refused at once.
  kRefused,
};

class FakePlatform {
 public:
  PlatformAnswer Call(const PlatformCall& call);

  // Faults of the next writes, in order; kNone once they are used up.
  std::deque<PlatformFault> write_faults;
  // Decides on each call once write_faults is empty, if set.
  std::function<PlatformFault(const PlatformCall&)> fault_of;
  // Refuses every call while true.
  bool down = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;

  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };
  std::map<std::string, Object> objects;

 private:
  PlatformFault NextFault(const PlatformCall& call);
  PlatformAnswer Apply(const PlatformCall& call);
  PlatformAnswer List(const std::string& prefix);

  std::uint64_t next_version_ = 1;
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FAKE_PLATFORM_H_
