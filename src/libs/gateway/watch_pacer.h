// Spaces the calls of a watch. Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_WATCH_PACER_H_
#define SRC_LIBS_GATEWAY_WATCH_PACER_H_

#include <chrono>

namespace turmericwinch {

// A watch ends with the first change. While many targets start or leave, each
// host would make one call for each of them, so calls start at least
// `interval` apart: a single change is still known at once, and one call
// returns all the changes that came during a pause.
class WatchPacer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit WatchPacer(std::chrono::milliseconds interval)
      : interval_(interval) {}

  void SetInterval(std::chrono::milliseconds interval) { interval_ = interval; }
  // Returns when the next call may start, `now` at the earliest, and counts it
  // as started then.
  TimePoint NextStart(TimePoint now) {
    last_start_ = last_start_ + interval_ > now ? last_start_ + interval_ : now;
    return last_start_;
  }

 private:
  std::chrono::milliseconds interval_;
  TimePoint last_start_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_WATCH_PACER_H_
