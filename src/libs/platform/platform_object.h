// An object stored in the platform's object API.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_

#include <string>

#include "libs/base/store_version.h"

namespace turmericwinch {

// `version` increases with each write of any object.
// `value` is JSON text of at most one megabyte.
struct PlatformObject {
  std::string name;
  StoreVersion version;
  std::string value;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_
