// Calls to the platform's object API as data, so that the code that decides on
// them needs no I/O.

#ifndef SRC_LIBS_BUDGET_PLATFORM_CALL_H_
#define SRC_LIBS_BUDGET_PLATFORM_CALL_H_

#include <chrono>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/base/store_version.h"

namespace turmericwinch {

enum class PlatformVerb { kGet, kCreate, kUpdate, kList };

// One call to make. For kList, `name` is a prefix of object names. `version` is
// the one that a kUpdate expects. `value` is empty for kGet and kList. `pause`
// is the time to wait before the call.
struct PlatformCall {
  PlatformVerb verb = PlatformVerb::kGet;
  std::string name;
  StoreVersion version;
  std::string value;
  std::chrono::milliseconds pause{0};
};

// One object in the answer to kList.
struct ListedObject {
  std::string name;
  StoreVersion version;
  std::string value;
};

// Answer to a PlatformCall. `reason` is kOk or the failure, with the codes of
// PlatformClient. On success it has the version, for kGet also the value, and
// for kList the objects.
struct PlatformAnswer {
  Reason reason;
  StoreVersion version;
  std::string value;
  std::vector<ListedObject> objects;
};

// Whether the object must be read again after a failed write, to find its
// present version or whether the write took effect.
inline bool NeedsReread(ResultCode code) {
  return code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformExists ||
         code == ResultCode::kPlatformUnknown ||
         code == ResultCode::kPlatformNotFound;
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_PLATFORM_CALL_H_
