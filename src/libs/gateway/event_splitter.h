// Cuts a stream of server-sent events at their borders.

#ifndef SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_
#define SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// One event as its bytes stand in the stream, with its "id" line's number.
struct RawEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;
};

// Fed with pieces of any size; gives whole events in order.
class EventSplitter {
 public:
  void Feed(std::string_view piece) { buf_ += piece; }
  std::optional<RawEvent> Next();
  // Bytes of an event that is not whole yet.
  std::size_t pending_bytes() const { return buf_.size(); }

 private:
  std::string buf_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_SPLITTER_H_
