#include "libs/delivery/retry_budget.h"

#include <algorithm>

namespace turmericwinch {

namespace {

// Rounding error of sums of fractions such as 0.2.
constexpr double kRoundingError = 1e-9;

}  // namespace

void RetryBudget::SetMaxRetries(double max_retries) {
  max_retries_ = max_retries;
  available_ = is_used_ ? std::min(available_, max_retries_) : max_retries_;
}

void RetryBudget::OnRequest() {
  is_used_ = true;
  available_ = std::min(available_ + ratio_, max_retries_);
}

bool RetryBudget::TakeRetry() {
  is_used_ = true;
  if (available_ + kRoundingError < 1)
    return false;
  available_ -= 1;
  return true;
}

}  // namespace turmericwinch
