#include "libs/gateway/pending_losses.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

void PendingLosses::Expire(Time now) {
  std::erase_if(losses_, [now](const Pending& it) {
    return now - it.time > kLossConfirmationWindow;
  });
  std::erase_if(ended_, [now](const auto& it) {
    return now - it.second > kLossConfirmationWindow;
  });
}

bool PendingLosses::AddLoss(const TargetLoss& loss, Time now) {
  Expire(now);
  if (ended_.contains(loss.TargetIncarnation()))
    return true;
  if (losses_.size() < kMaxPendingLosses)
    losses_.push_back({loss, now});
  return false;
}

std::vector<TargetLoss> PendingLosses::TakeEnded(
    const std::string& target_incarnation,
    Time now) {
  Expire(now);
  ended_[target_incarnation] = now;
  std::vector<TargetLoss> confirmed;
  std::erase_if(losses_, [&](Pending& it) {
    if (it.loss.TargetIncarnation() != target_incarnation)
      return false;
    confirmed.push_back(std::move(it.loss));
    return true;
  });
  return confirmed;
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
  Expire(now);
  std::erase_if(losses_, [&](Pending& it) {
    if (is_alive(it.loss))
      return false;
    confirmed.push_back(std::move(it.loss));
    return true;
  });
  return confirmed;
}

}  // namespace turmericwinch
