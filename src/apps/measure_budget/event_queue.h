// A simulated clock with scheduled events.

#ifndef SRC_APPS_MEASURE_BUDGET_EVENT_QUEUE_H_
#define SRC_APPS_MEASURE_BUDGET_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "libs/budget/host_ledger.h"

namespace turmericwinch {

using SimDuration = MonotonicTime::duration;

// Converts seconds to a duration of the simulated clock.
SimDuration Seconds(double seconds);

// Events with the same time run in the order in which they were added.
class EventQueue {
 public:
  MonotonicTime now() const { return now_; }
  // Seconds since the start.
  double seconds() const;
  void After(SimDuration delay, std::function<void()> action);
  // Runs all events up to `end` and sets the clock to `end`.
  void RunUntil(MonotonicTime end);

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t order = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time
                                     : left.order > right.order;
    }
  };

  MonotonicTime now_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_EVENT_QUEUE_H_
