#include "libs/delivery/prompt_part_quarantine.h"

#include <algorithm>

#include "libs/delivery/crash_causes.h"
#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

void PromptPartQuarantine::OnCrash(const TargetCrash& crash, Time now) {
  Expire(now);
  auto found = std::find_if(
      crashes_.begin(), crashes_.end(),
      [&crash](const Crash& it) { return it.crash.target == crash.target; });
  if (found == crashes_.end()) {
    if (crashes_.size() >= kMaxRecordedCrashes)
      crashes_.pop_front();
    crashes_.push_back({now, {crash.target, {}}});
    found = std::prev(crashes_.end());
  }
  std::vector<LostRequest>& requests = found->crash.requests;
  for (const LostRequest& it : crash.requests) {
    if (!it.shared_parts.empty() && requests.size() < kMaxLostRequests)
      requests.push_back(it);
  }
}

std::vector<PromptPartId> PromptPartQuarantine::QuarantineCauses(Time now) {
  std::vector<TargetCrash> crashes;
  for (const Crash& it : crashes_) {
    if (now - it.time >= kCrashReportTime)
      crashes.push_back(it.crash);
  }
  std::set<PromptPartId> known;
  for (const auto& [part, it] : verdicts_) {
    if (now < it.end)
      known.insert(part);
  }
  std::vector<PromptPartId> causes = FindCrashCauses(
      crashes, known, [&](PromptPartId part) { return IsSound(part, now); });
  for (PromptPartId it : causes)
    Quarantine(it, now);
  return causes;
}

bool PromptPartQuarantine::HasNewCrashes(Time now) const {
  return !crashes_.empty() && now - crashes_.back().time < kCrashReportTime;
}

void PromptPartQuarantine::Quarantine(PromptPartId part, Time now) {
  auto [it, is_new] = verdicts_.try_emplace(part);
  it->second.hold =
      is_new ? kFirstPartHold : std::min(2 * it->second.hold, kQuarantineHold);
  it->second.end = now + it->second.hold;
}

std::vector<PromptPartId> PromptPartQuarantine::OnAnswered(
    const std::vector<PromptPartId>& parts,
    Time now) {
  std::vector<PromptPartId> cleared;
  for (PromptPartId it : parts) {
    answered_.Add(it, now);
    if (verdicts_.erase(it) > 0)
      cleared.push_back(it);
  }
  return cleared;
}

bool PromptPartQuarantine::AddVerdict(const QuarantinedPart& verdict,
                                      Time now) {
  if (IsSound(verdict.part, now))
    return false;
  if (verdicts_.size() >= kMaxQuarantinedParts &&
      !verdicts_.contains(verdict.part))
    return false;
  Verdict& it = verdicts_[verdict.part];
  const bool is_new = it.end <= now;
  const std::chrono::milliseconds hold =
      std::min(verdict.hold, kQuarantineHold);
  it.end = std::max(it.end, now + hold);
  it.hold = std::max({it.hold, hold, kFirstPartHold});
  return is_new;
}

std::optional<PromptPartId> PromptPartQuarantine::FindQuarantined(
    const std::vector<PromptPartId>& parts,
    Time now) const {
  for (PromptPartId part : parts) {
    auto it = verdicts_.find(part);
    if (it != verdicts_.end() && now < it->second.end)
      return part;
  }
  return std::nullopt;
}

std::vector<QuarantinedPart> PromptPartQuarantine::Verdicts(Time now) const {
  std::vector<QuarantinedPart> verdicts;
  for (const auto& [part, it] : verdicts_) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.end - now);
    if (left.count() > 0)
      verdicts.push_back({part, left});
  }
  return verdicts;
}

void PromptPartQuarantine::Expire(Time now) {
  std::erase_if(verdicts_, [now](const auto& it) {
    return now - it.second.end > kCrashRetention;
  });
  while (!crashes_.empty() && now - crashes_.front().time > kCrashRetention)
    crashes_.pop_front();
}

}  // namespace turmericwinch
