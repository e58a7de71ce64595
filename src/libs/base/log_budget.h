// Bounds the lines that one category of events may write.

#ifndef SRC_LIBS_BASE_LOG_BUDGET_H_
#define SRC_LIBS_BASE_LOG_BUDGET_H_

#include <chrono>
#include <cstdint>

namespace turmericwinch {

// Lines a second that a category may write, and lines that it may have saved
// up: a host serves tens of requests a second, with a line or two each.
inline constexpr double kLogLinesPerSecond = 300;
inline constexpr double kLogMostSaved = 600;

// Free of clocks and not safe for use by several threads.
class LogBudget {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Whether one more line may be written; if not, it is counted as dropped.
  bool Take(TimePoint now);
  // Lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  double saved_ = kLogMostSaved;
  TimePoint last_;
  std::uint64_t dropped_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_LOG_BUDGET_H_
