// What a target says of itself in a response.

#ifndef SRC_LIBS_ROUTING_TARGET_NOTICE_H_
#define SRC_LIBS_ROUTING_TARGET_NOTICE_H_

#include <chrono>

namespace turmericwinch {

// `leaving`: the target takes no new requests from now on. `pause`: the time
// for which it wants no request from this host; 0 if it asks for none.
struct TargetNotice {
  bool leaving = false;
  std::chrono::milliseconds pause{0};

  bool empty() const { return !leaving && pause.count() == 0; }
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_NOTICE_H_
