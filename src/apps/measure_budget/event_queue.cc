#include "apps/measure_budget/event_queue.h"

#include <chrono>
#include <utility>

namespace turmericwinch {

SimDuration Seconds(double seconds) {
  return std::chrono::duration_cast<SimDuration>(
      std::chrono::duration<double>(seconds));
}

double EventQueue::seconds() const {
  return std::chrono::duration<double>(now_.time_since_epoch()).count();
}

void EventQueue::After(SimDuration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_order_++, std::move(action)});
}

void EventQueue::RunUntil(MonotonicTime end) {
  while (!events_.empty() && events_.top().time <= end) {
    std::function<void()> action =
        std::move(const_cast<Event&>(events_.top()).action);
    now_ = events_.top().time;
    events_.pop();
    action();
  }
  now_ = end;
}

}  // namespace turmericwinch
