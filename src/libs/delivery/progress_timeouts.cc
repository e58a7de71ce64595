#include "libs/delivery/progress_timeouts.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinTimeout{1};

milliseconds CapTimeout(milliseconds timeout, milliseconds left) {
  return std::max(std::min(timeout, left), kMinTimeout);
}

}  // namespace

ProgressTimeouts StreamTimeouts(std::int64_t prompt_tokens, milliseconds left) {
  const milliseconds prefill(prompt_tokens * 1000 /
                             kSlowestPrefillTokensPerSecond);
  return {CapTimeout(kTargetConnectTimeout, left),
          CapTimeout(kFirstByteTimeout + prefill, left),
          CapTimeout(kBetweenTokensTimeout, left)};
}

ProgressTimeouts WholeAnswerTimeouts(milliseconds left) {
  return {CapTimeout(kTargetConnectTimeout, left), CapTimeout(left, left),
          CapTimeout(left, left)};
}

}  // namespace turmericwinch
