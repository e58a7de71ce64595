#include "libs/delivery/retry_budget.h"

#include <algorithm>

namespace turmericwinch {

namespace {

// Sums of parts such as 0.2 miss whole retries by rounding.
constexpr double kRounding = 1e-9;

}  // namespace

void RetryBudget::SetMaxRetries(double most) {
  most_ = most;
  earned_ = used_ ? std::min(earned_, most_) : most_;
}

void RetryBudget::OnRequest() {
  used_ = true;
  earned_ = std::min(earned_ + ratio_, most_);
}

bool RetryBudget::TakeRetry() {
  used_ = true;
  if (earned_ + kRounding < 1)
    return false;
  earned_ -= 1;
  return true;
}

}  // namespace turmericwinch
