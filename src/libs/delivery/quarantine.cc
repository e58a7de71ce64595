#include "libs/delivery/quarantine.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

std::optional<QuarantineVerdict> Quarantine::OnLost(const std::string& digest,
                                                    const std::string& target,
                                                    Time now,
                                                    Time sent) {
  if (suspects_.size() >= kMaxSuspects)
    Expire(now);
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(digest))
    return std::nullopt;
  cleared_.erase(digest);
  Loss& loss = losses_[target];
  if (now - loss.time > kLostTogether)
    loss.digests.clear();
  if (!loss.digests.insert(digest).second)
    return std::nullopt;
  loss.time = now;
  Suspect& suspect = suspects_[digest];
  const bool is_renewal = suspect.hold.count() > 0 && now >= suspect.End();
  suspect.sequence.Add(sent, now);
  ++suspect.losses;
  suspect.last_loss = now;
  if (loss.digests.size() > 1)
    ++suspect.shared_losses;
  // Until now the first request was the only one known to be lost with this
  // target.
  if (loss.digests.size() == 2) {
    const bool is_first_other = *loss.digests.begin() != digest;
    MarkShared(is_first_other ? *loss.digests.begin() : *loss.digests.rbegin());
  }
  if (suspect.losses < kLossesToQuarantine)
    return std::nullopt;
  suspect.RaiseUncertainHold(is_renewal);
  suspect.hold = suspect.IsCertain() ? kQuarantineHold : suspect.uncertain_hold;
  if (!suspect.IsCertain())
    return std::nullopt;
  return QuarantineVerdict{digest, suspect.hold};
}

void Quarantine::MarkShared(const std::string& digest) {
  auto it = suspects_.find(digest);
  if (it == suspects_.end())
    return;
  Suspect& suspect = it->second;
  ++suspect.shared_losses;
  if (suspect.hold.count() > 0 && !suspect.IsCertain())
    suspect.hold = std::max(suspect.uncertain_hold, kUncertainQuarantineHold);
}

bool Quarantine::Suspect::IsCertain() const {
  return shared_losses < losses || sequence.count() >= kCrashesToBlame;
}

void Quarantine::Suspect::RaiseUncertainHold(bool is_renewal) {
  const std::chrono::milliseconds hold =
      is_renewal ? 2 * uncertain_hold : uncertain_hold;
  uncertain_hold = std::clamp(hold, kUncertainQuarantineHold, kQuarantineHold);
}

bool Quarantine::OnAnswered(const std::string& digest, Time now) {
  if (suspects_.erase(digest) == 0)
    return false;
  if (cleared_.size() < kMaxSuspects)
    cleared_[digest] = now;
  return true;
}

bool Quarantine::IsQuarantined(const std::string& digest, Time now) const {
  auto it = suspects_.find(digest);
  return it != suspects_.end() && now < it->second.End();
}

bool Quarantine::AddVerdict(const QuarantineVerdict& verdict, Time now) {
  if (IsCleared(verdict.digest))
    return false;
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(verdict.digest))
    return false;
  Suspect& suspect = suspects_[verdict.digest];
  const bool was_refused = now < suspect.End();
  const std::chrono::milliseconds hold =
      std::min(verdict.hold, kQuarantineHold);
  // The same verdict comes from many hosts, each time a little later.
  if (was_refused && now + hold < suspect.End() + kSameVerdictSlack)
    return false;
  suspect.last_loss = now;
  suspect.hold = hold;
  return !was_refused;
}

std::vector<QuarantineVerdict> Quarantine::Verdicts(Time now) const {
  std::vector<QuarantineVerdict> verdicts;
  for (const auto& [digest, suspect] : suspects_) {
    if (now < suspect.End()) {
      verdicts.push_back(
          {digest, std::chrono::duration_cast<std::chrono::milliseconds>(
                       suspect.End() - now)});
    }
  }
  return verdicts;
}

void Quarantine::Expire(Time now) {
  // The losses outlive the verdict, so that one more crash renews it.
  std::erase_if(suspects_, [now](const auto& it) {
    const Suspect& suspect = it.second;
    return suspect.losses == 0 ? now >= suspect.End()
                               : now - suspect.last_loss >= kSuspectRetention;
  });
  std::erase_if(losses_, [now](const auto& it) {
    return now - it.second.time > kLostTogether;
  });
  std::erase_if(cleared_, [now](const auto& it) {
    return now - it.second >= kQuarantineHold;
  });
}

}  // namespace turmericwinch
