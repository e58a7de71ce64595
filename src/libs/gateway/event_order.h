// Keeps the events of one stream in order, over all the targets that serve it.

#ifndef SRC_LIBS_GATEWAY_EVENT_ORDER_H_
#define SRC_LIBS_GATEWAY_EVENT_ORDER_H_

#include <cstdint>
#include <optional>

namespace turmericwinch {

// What becomes of an event. kMissing: events before it are missing, so the
// stream must not go on with it.
enum class EventVerdict { kPass, kRepeated, kMissing };

// Event ids rise by one. Free of I/O.
class EventOrder {
 public:
  // The caller has all events up to `id` from an earlier stream.
  void StartAfter(std::uint64_t id) { last_ = id; }
  // Judges the next event of a target. One without an id passes.
  EventVerdict Take(std::optional<std::uint64_t> id);

  // The last event that passed; 0 before the first.
  std::uint64_t last() const { return last_; }
  // Events that passed.
  std::int64_t passed() const { return passed_; }

 private:
  std::uint64_t last_ = 0;
  std::int64_t passed_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_ORDER_H_
