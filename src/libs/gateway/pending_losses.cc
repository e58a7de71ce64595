#include "libs/gateway/pending_losses.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

void PendingLosses::AddLoss(TargetLoss loss, Time now) {
  std::erase_if(losses_, [now](const Pending& it) {
    return now - it.time > kLossConfirmationWindow;
  });
  if (losses_.size() < kMaxPendingLosses)
    losses_.push_back({std::move(loss), now});
}

std::vector<TargetLoss> PendingLosses::TakeConfirmed(const HostList& list,
                                                     Time now) {
  std::vector<TargetLoss> confirmed;
  const auto is_alive = [&list](const TargetLoss& loss) {
    return std::any_of(
        list.targets.begin(), list.targets.end(), [&](const ListedMember& it) {
          return it.name == loss.target && it.incarnation == loss.incarnation;
        });
  };
  std::erase_if(losses_, [&](Pending& it) {
    if (now - it.time > kLossConfirmationWindow)
      return true;
    if (is_alive(it.loss))
      return false;
    confirmed.push_back(std::move(it.loss));
    return true;
  });
  return confirmed;
}

}  // namespace turmericwinch
