// Calls to the platform's object API as data, so that decisions need no I/O.

#ifndef SRC_LIBS_BUDGET_PLATFORM_CALL_H_
#define SRC_LIBS_BUDGET_PLATFORM_CALL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

enum class PlatformVerb { kGet, kCreate, kUpdate, kList };

// One call to make. `name` is the prefix of the names for kList. `version` is
// that to update against; `value` is empty for kGet and kList. `pause` is the
// time to wait before the call.
struct PlatformCall {
  PlatformVerb verb = PlatformVerb::kGet;
  std::string name;
  std::uint64_t version = 0;
  std::string value;
  std::chrono::milliseconds pause{0};
};

// One object of an answer to kList.
struct ListedObject {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

// Its answer: kOk with the version, and for kGet the value, for kList the
// objects, or why not. The codes are those of PlatformClient.
struct PlatformAnswer {
  Reason reason;
  std::uint64_t version = 0;
  std::string value;
  std::vector<ListedObject> objects;
};

// Whether a failed write is settled by reading the object again.
inline bool NeedsReread(ResultCode code) {
  return code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformExists ||
         code == ResultCode::kPlatformUnknown ||
         code == ResultCode::kPlatformNotFound;
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_PLATFORM_CALL_H_
