// An in-memory platform for tests, with versions, conditional writes and
// injected faults.

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
  // The call takes effect, but its answer is lost.
  kAnswerLost,
  // The call does not take effect; the caller gets the same error as for
  // kAnswerLost.
  kCallLost,
  // The call fails at once as unavailable.
  kRefused,
};

class FakePlatform {
 public:
  PlatformAnswer Call(const PlatformCall& call);

  // Faults of the next writes, in order.
  std::deque<PlatformFault> write_faults;
  // If set, decides the fault of each call that write_faults does not cover.
  std::function<PlatformFault(const PlatformCall&)> fault_of;
  // While true, every call fails as unavailable.
  bool down = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;

  struct Object {
    StoreVersion version;
    std::string value;
  };
  std::map<std::string, Object> objects;

 private:
  PlatformFault NextFault(const PlatformCall& call);
  PlatformAnswer Apply(const PlatformCall& call);
  PlatformAnswer List(const std::string& prefix);

  std::uint64_t next_revision_ = 1;
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FAKE_PLATFORM_H_
