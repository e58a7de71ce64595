// Bounds the memory that responses of targets take up.

#ifndef SRC_LIBS_GATEWAY_RESPONSE_MEMORY_H_
#define SRC_LIBS_GATEWAY_RESPONSE_MEMORY_H_

#include <atomic>
#include <cstddef>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

// The bytes that are buffered for all calls together, without the first
// kFreeResponseBytes of each: a target that sends without end must not use up
// the memory that the responses of other targets need. Thread-safe.
class ResponseMemory {
 public:
  // Returns false, and reserves nothing, if the total would exceed
  // kMaxResponseMemory bytes.
  bool Reserve(std::size_t bytes);
  void Release(std::size_t bytes) { used_ -= bytes; }
  std::size_t used() const { return used_; }

 private:
  std::atomic<std::size_t> used_{0};
};

// What the response to one call takes up. Released when the call ends.
class ResponseShare {
 public:
  explicit ResponseShare(ResponseMemory& memory) : memory_(memory) {}
  ResponseShare(const ResponseShare&) = delete;
  ResponseShare& operator=(const ResponseShare&) = delete;
  ~ResponseShare() { memory_.Release(reserved_); }

  // Sets the number of buffered bytes. Returns false, and changes nothing, if
  // there is no memory for more.
  bool Resize(std::size_t bytes);

 private:
  ResponseMemory& memory_;
  std::size_t reserved_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RESPONSE_MEMORY_H_
