#include "libs/gateway/event_order.h"

namespace turmericwinch {

EventVerdict EventOrder::CheckNext(std::optional<std::uint64_t> id) {
  if (id && last_id_ && *id <= *last_id_)
    return EventVerdict::kRepeated;
  if (id && last_id_ && *id != *last_id_ + 1)
    return EventVerdict::kMissing;
  if (id)
    last_id_ = id;
  ++passed_;
  return EventVerdict::kPass;
}

}  // namespace turmericwinch
