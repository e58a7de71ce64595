// Checks the order of the events of one stream across all targets that serve
// it.

#ifndef SRC_LIBS_GATEWAY_EVENT_ORDER_H_
#define SRC_LIBS_GATEWAY_EVENT_ORDER_H_

#include <cstdint>
#include <optional>

namespace turmericwinch {

// What to do with an event: relay it, drop it because the caller has it, or
// break the stream because events before it are missing.
enum class EventVerdict { kPass, kRepeated, kMissing };

// Event ids increase by one from event to event; the first may be any, also 0.
// Free of I/O.
class EventOrder {
 public:
  // The caller already has all events up to `id` from an earlier stream, or
  // none if there is no `id`.
  void StartAfter(std::optional<std::uint64_t> id) { last_id_ = id; }
  // Checks the next event of a target and, if it passes, counts it. An event
  // without an id passes.
  EventVerdict CheckNext(std::optional<std::uint64_t> id);

  // Id of the last event that the caller has; nothing before the first.
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  // Number of events that passed.
  std::int64_t passed() const { return passed_; }

 private:
  std::optional<std::uint64_t> last_id_;
  std::int64_t passed_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_ORDER_H_
