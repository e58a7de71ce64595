#include "libs/base/log_budget.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

bool LogBudget::Take(TimePoint now) {
  if (now > last_) {
    const std::chrono::duration<double> elapsed = now - last_;
    saved_ =
        std::min(saved_ + elapsed.count() * kLogLinesPerSecond, kLogMostSaved);
    last_ = now;
  }
  if (saved_ < 1) {
    ++dropped_;
    return false;
  }
  saved_ -= 1;
  return true;
}

std::uint64_t LogBudget::TakeDropped() {
  return std::exchange(dropped_, 0);
}

}  // namespace turmericwinch
