// Demand averaged over time.

#ifndef SRC_LIBS_BUDGET_DEMAND_RATE_H_
#define SRC_LIBS_BUDGET_DEMAND_RATE_H_

#include <chrono>
#include <cmath>
#include <cstdint>

namespace turmericwinch {

// Time since an arbitrary start, never set back by a change of the clock.
using MonotonicTime = std::chrono::steady_clock::time_point;

// Tokens a second, averaged with exponential decay over `window`.
class DemandRate {
 public:
  explicit DemandRate(std::chrono::seconds window) : window_(window) {}

  void AddTokens(std::int64_t tokens, MonotonicTime now) {
    Decay(now);
    rate_ += static_cast<double>(tokens) / window_.count();
  }
  // As of the last call of AddTokens or Decay.
  double Value() const { return rate_; }
  void Decay(MonotonicTime now) {
    if (now <= last_)
      return;
    const std::chrono::duration<double> elapsed = now - last_;
    rate_ *= std::exp(-elapsed / window_);
    last_ = now;
  }

 private:
  std::chrono::duration<double> window_;
  double rate_ = 0;
  MonotonicTime last_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_DEMAND_RATE_H_
