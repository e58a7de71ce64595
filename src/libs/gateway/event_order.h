// Checks the order of the events of one stream across all targets that serve
// it.

#ifndef SRC_LIBS_GATEWAY_EVENT_ORDER_H_
#define SRC_LIBS_GATEWAY_EVENT_ORDER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "libs/gateway/event_id.h"

namespace turmericwinch {

// What to do with an event: relay it, drop it because the caller has it, or
// break the stream because events before it may be missing.
enum class EventVerdict { kPass, kRepeated, kMissing };

// Event ids increase from event to event, by any amount, so two ids do not tell
// whether events between them are missing. A target that continues the stream
// of another is therefore asked for the last event that the caller has once
// more: what follows it in the target's stream is the next event. Free of I/O.
class EventOrder {
 public:
  // The caller already has all events up to `id` from an earlier stream, or
  // none if there is no `id`.
  void StartAfter(std::optional<EventId> id) { last_id_ = std::move(id); }
  // Id after which the next target has to begin; nothing if it has to send the
  // whole stream. The event before last_id(), so that the target repeats that
  // event. If it is not known, last_id() itself.
  const std::optional<EventId>& resume_after() const;
  // The stream of a target begins, which was asked to begin after
  // resume_after().
  void BeginTarget();
  // Checks the next event of the target and, if it passes, counts it. An event
  // without an id passes.
  EventVerdict CheckNext(const std::optional<EventId>& id);
  // Whether the target has yet to send the event last_id(). A stream that ends
  // before is not complete.
  bool awaits_last() const { return awaits_last_; }

  // Id of the last event that the caller has; nothing before the first.
  const std::optional<EventId>& last_id() const { return last_id_; }
  // Number of events that passed.
  std::int64_t passed() const { return passed_; }

 private:
  std::optional<EventId> last_id_;
  // Id of the event before last_id_, if it is known.
  std::optional<EventId> previous_id_;
  bool awaits_last_ = false;
  std::int64_t passed_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_ORDER_H_
