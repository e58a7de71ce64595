// An object stored in the platform's object API.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_

#include <cstdint>
#include <string>

namespace turmericwinch {

// `version` increases with each write of any object, see store_version.h.
// `value` is JSON text of at most one megabyte.
struct PlatformObject {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_OBJECT_H_
