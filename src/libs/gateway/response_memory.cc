#include "libs/gateway/response_memory.h"

#include <utility>

namespace turmericwinch {

bool ResponseMemory::Reserve(std::size_t bytes) {
  if (used_.fetch_add(bytes) + bytes <= kMaxResponseMemory)
    return true;
  used_ -= bytes;
  return false;
}

bool ResponseShare::Resize(std::size_t bytes) {
  const std::size_t counted =
      bytes > kFreeResponseBytes ? bytes - kFreeResponseBytes : 0;
  if (counted > reserved_ && !memory_.Reserve(counted - reserved_))
    return false;
  const std::size_t before = std::exchange(reserved_, counted);
  if (before > counted)
    memory_.Release(before - counted);
  return true;
}

}  // namespace turmericwinch
