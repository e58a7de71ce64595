#include "libs/delivery/quarantine.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

std::optional<QuarantineVerdict> Quarantine::OnLost(const std::string& digest,
                                                    const std::string& target,
                                                    Time now) {
  if (suspects_.size() >= kMostSuspects)
    Expire(now);
  if (suspects_.size() >= kMostSuspects && !suspects_.contains(digest))
    return std::nullopt;
  Loss& loss = losses_[target];
  if (now - loss.time > kLostTogether)
    loss.digests.clear();
  if (!loss.digests.insert(digest).second)
    return std::nullopt;
  loss.time = now;
  Suspect& suspect = suspects_[digest];
  ++suspect.losses;
  suspect.last = now;
  if (loss.digests.size() > 1)
    ++suspect.shared_losses;
  // The first one was alone until now.
  if (loss.digests.size() == 2) {
    const bool first = *loss.digests.begin() != digest;
    MarkShared(first ? *loss.digests.begin() : *loss.digests.rbegin());
  }
  if (suspect.losses < kLossesToQuarantine)
    return std::nullopt;
  const bool certain = suspect.shared_losses < suspect.losses;
  suspect.hold = certain ? kQuarantineHold : kQuarantineDoubtHold;
  if (!certain)
    return std::nullopt;
  return QuarantineVerdict{digest, suspect.hold};
}

void Quarantine::MarkShared(const std::string& digest) {
  auto it = suspects_.find(digest);
  if (it == suspects_.end())
    return;
  Suspect& suspect = it->second;
  ++suspect.shared_losses;
  if (suspect.hold.count() > 0 && suspect.shared_losses >= suspect.losses)
    suspect.hold = kQuarantineDoubtHold;
}

bool Quarantine::OnAnswered(const std::string& digest) {
  return suspects_.erase(digest) > 0;
}

bool Quarantine::IsQuarantined(const std::string& digest, Time now) const {
  auto it = suspects_.find(digest);
  return it != suspects_.end() && now - it->second.last < it->second.hold;
}

void Quarantine::AddVerdict(const QuarantineVerdict& verdict, Time now) {
  if (suspects_.size() >= kMostSuspects && !suspects_.contains(verdict.digest))
    return;
  Suspect& suspect = suspects_[verdict.digest];
  suspect.losses = std::max(suspect.losses, kLossesToQuarantine);
  suspect.last = now;
  suspect.hold = std::min(verdict.hold, kQuarantineHold);
}

void Quarantine::Expire(Time now) {
  std::erase_if(suspects_, [now](const auto& it) {
    return now - it.second.last >= kQuarantineHold ||
           (it.second.hold.count() > 0 &&
            now - it.second.last >= it.second.hold);
  });
  std::erase_if(losses_, [now](const auto& it) {
    return now - it.second.time > kLostTogether;
  });
}

}  // namespace turmericwinch
