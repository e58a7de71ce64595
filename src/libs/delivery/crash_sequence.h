// Counts crashes that followed one another.

#ifndef SRC_LIBS_DELIVERY_CRASH_SEQUENCE_H_
#define SRC_LIBS_DELIVERY_CRASH_SEQUENCE_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// The crashes of targets that ran requests of one kind. A crash counts only if
// one of these requests was not sent before the crash that counted last:
// targets that fail at the same time, for a common reason, count once. Reads no
// clock.
class CrashSequence {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Adds a request that was sent at `sent` and lost in a crash at `crash`. Must
  // be called in the order of the crashes.
  void Add(Time sent, Time crash) {
    if (count_ > 0 && (sent < last_ || crash <= last_))
      return;
    ++count_;
    last_ = crash;
  }
  std::size_t count() const { return count_; }

 private:
  std::size_t count_ = 0;
  // The crash that counted last.
  Time last_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CRASH_SEQUENCE_H_
