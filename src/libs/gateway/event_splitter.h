// Splits a byte stream of server-sent events into events.

#ifndef SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_
#define SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/gateway/event_id.h"

namespace turmericwinch {

// The bytes of one event, unchanged, and the id of its "id" line, if it is a
// number.
struct RawEvent {
  std::string bytes;
  std::optional<EventId> id;
};

// Is fed pieces of any size and returns complete events in order.
class EventSplitter {
 public:
  void Feed(std::string_view piece) { buf_ += piece; }
  // Removes and returns the next complete event; nullopt if there is none.
  std::optional<RawEvent> NextEvent();
  // Number of bytes that are buffered.
  std::size_t pending_bytes() const { return buf_.size(); }

 private:
  std::string buf_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_
