#include "libs/gateway/event_order.h"

namespace turmericwinch {

EventVerdict EventOrder::Take(std::optional<std::uint64_t> id) {
  if (id && last_ != 0 && *id <= last_)
    return EventVerdict::kRepeated;
  if (id && last_ != 0 && *id != last_ + 1)
    return EventVerdict::kMissing;
  if (id)
    last_ = *id;
  ++passed_;
  return EventVerdict::kPass;
}

}  // namespace turmericwinch
