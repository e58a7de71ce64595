// Time that is left until a deadline.

#ifndef SRC_LIBS_GATEWAY_TIME_UNTIL_H_
#define SRC_LIBS_GATEWAY_TIME_UNTIL_H_

#include <chrono>

namespace turmericwinch {

// Negative if `time` has passed.
inline std::chrono::milliseconds TimeUntil(
    std::chrono::steady_clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time - std::chrono::steady_clock::now());
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TIME_UNTIL_H_
