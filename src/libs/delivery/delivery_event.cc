#include "libs/delivery/delivery_event.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kNames[] = {
    "crossed_answer", "late_answer",    "malformed_answer", "silent_connection",
    "silent_target",  "resumed_stream", "cancelled_stream", "joined_answer"};

}  // namespace

std::string_view NameOf(DeliveryEvent event) {
  return kNames[static_cast<int>(event)];
}

}  // namespace turmericwinch
