#include "libs/delivery/progress_limits.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeast{1};

milliseconds Within(milliseconds limit, milliseconds left) {
  return std::max(std::min(limit, left), kLeast);
}

}  // namespace

ProgressLimits StreamLimits(std::int64_t prompt_tokens, milliseconds left) {
  const milliseconds prefill(prompt_tokens * 1000 /
                             kSlowestPrefillTokensPerSecond);
  return {Within(kConnectLimit, left), Within(kFirstByteLimit + prefill, left),
          Within(kBetweenTokensLimit, left)};
}

ProgressLimits WholeLimits(milliseconds left) {
  return {Within(kConnectLimit, left), Within(left, left), Within(left, left)};
}

}  // namespace turmericwinch
