#include "libs/delivery/retry_budget.h"

#include <algorithm>

namespace turmericwinch {

void RetryBudget::OnRequest() {
  parts_ = std::min(parts_ + kPartsPerRequest, kMostParts);
}

bool RetryBudget::TakeRetry() {
  if (parts_ < kPartsPerRetry)
    return false;
  parts_ -= kPartsPerRetry;
  return true;
}

}  // namespace turmericwinch
