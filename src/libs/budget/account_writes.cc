#include "libs/budget/account_writes.h"

#include <algorithm>

namespace turmericwinch {

void AccountWrites::SetFleet(std::size_t hosts, bool writes_for_others) {
  hosts_ = hosts;
  writes_for_others_ = writes_for_others;
}

bool AccountWrites::IsSparse() const {
  return !writes_for_others_ && hosts_ >= kMinHostsForSparseWrites;
}

bool AccountWrites::MayDrawDirectly(MonotonicTime now) {
  if (IsSparse() && last_draw_ &&
      now - *last_draw_ <
          kDirectDrawPausePerHost * static_cast<std::int64_t>(hosts_))
    return false;
  last_draw_ = now;
  return true;
}

bool AccountWrites::ShouldBeIntroduced(int conflicts, bool has_asked) const {
  return conflicts >=
         (IsSparse() && !has_asked ? 0 : kMaxRegistrationConflicts);
}

std::chrono::milliseconds AccountWrites::MaxConflictPause(int conflicts) const {
  const std::chrono::milliseconds pause =
      kConflictPause * (1 << std::min(conflicts, kMaxConflictPauseDoublings));
  if (!IsSparse())
    return pause;
  return std::max(pause,
                  kConflictPausePerHost * static_cast<std::int64_t>(hosts_));
}

}  // namespace turmericwinch
