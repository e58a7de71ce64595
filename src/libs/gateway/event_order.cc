#include "libs/gateway/event_order.h"

#include <utility>

namespace turmericwinch {

const std::optional<EventId>& EventOrder::resume_after() const {
  return previous_id_ ? previous_id_ : last_id_;
}

void EventOrder::BeginTarget() {
  awaits_last_ = previous_id_.has_value();
}

EventVerdict EventOrder::CheckNext(const std::optional<EventId>& id) {
  // An event without an id lies between those around it.
  if (!id && awaits_last_)
    return EventVerdict::kRepeated;
  if (id && last_id_) {
    if (*id <= *last_id_) {
      // Ids that go back begin a part of the stream anew.
      awaits_last_ = *id < *last_id_;
      return EventVerdict::kRepeated;
    }
    if (awaits_last_)
      return EventVerdict::kMissing;
  }
  if (id)
    previous_id_ = std::exchange(last_id_, id);
  ++passed_;
  return EventVerdict::kPass;
}

}  // namespace turmericwinch
