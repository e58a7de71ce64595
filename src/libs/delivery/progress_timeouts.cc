#include "libs/delivery/progress_timeouts.h"

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

ProgressTimeouts StreamTimeouts(std::int64_t prompt_tokens, milliseconds left) {
  const milliseconds prefill(prompt_tokens * 1000 /
                             kSlowestPrefillTokensPerSecond);
  return {Within(kTargetConnectTimeout, left),
          Within(kFirstByteTimeout + prefill, left),
          Within(kBetweenTokensTimeout, left)};
}

ProgressTimeouts WholeAnswerTimeouts(milliseconds left) {
  return {Within(kTargetConnectTimeout, left), Within(left, left),
          Within(left, left)};
}

}  // namespace turmericwinch
