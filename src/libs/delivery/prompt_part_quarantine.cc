#include "libs/delivery/prompt_part_quarantine.h"

#include <algorithm>
#include <iterator>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

void PromptPartQuarantine::OnCrash(const TargetCrash& crash, Time now) {
  Expire(now);
  auto found = std::find_if(
      crashes_.begin(), crashes_.end(),
      [&crash](const RecordedCrash& it) { return it.target == crash.target; });
  if (found == crashes_.end()) {
    if (crashes_.size() >= kMaxRecordedCrashes)
      crashes_.erase(crashes_.begin());
    crashes_.push_back({crash.target, now, {}});
    found = std::prev(crashes_.end());
  }
  for (const LostRequest& it : crash.requests) {
    if (!it.shared_parts.empty() && found->losses.size() < kMaxLostRequests)
      found->losses.push_back({it, now - it.age});
  }
}

PartAnswers PromptPartQuarantine::AnswersAt(Time now) const {
  return {[this, now](PromptPartId part) {
            return answered_.LastAnswer(part, now);
          },
          [this, now](PromptPartId part) {
            return begun_.LastAnswer(part, now).has_value();
          }};
}

std::span<const RecordedCrash> PromptPartQuarantine::CrashesUntil(
    Time end) const {
  const auto last = std::partition_point(
      crashes_.begin(), crashes_.end(),
      [end](const RecordedCrash& it) { return it.time <= end; });
  return {crashes_.begin(), last};
}

std::vector<PromptPartId> PromptPartQuarantine::QuarantineCauses(Time now) {
  std::set<PromptPartId> known;
  for (const auto& [part, it] : verdicts_) {
    if (now < it.end)
      known.insert(part);
  }
  std::vector<PromptPartId> causes = FindCrashCauses(
      CrashesUntil(now - kCrashReportTime), known, AnswersAt(now));
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
    const std::vector<AnsweredPart>& parts,
    Time now) {
  std::vector<PromptPartId> cleared;
  for (const AnsweredPart& it : parts) {
    answered_.Add(it.part, now - it.age);
    if (verdicts_.contains(it.part) &&
        !IsBlamed(it.part, crashes_, AnswersAt(now))) {
      verdicts_.erase(it.part);
      cleared.push_back(it.part);
    }
  }
  return cleared;
}

void PromptPartQuarantine::OnAnswerBegun(const std::vector<PromptPartId>& parts,
                                         Time now) {
  for (PromptPartId it : parts)
    begun_.Add(it, now);
}

std::optional<std::chrono::milliseconds> PromptPartQuarantine::Disproof(
    PromptPartId part,
    Time now) const {
  const std::optional<Time> answered = answered_.LastAnswer(part, now);
  if (!answered || !WasLost(part, crashes_) ||
      IsBlamed(part, crashes_, AnswersAt(now)))
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - *answered);
}

bool PromptPartQuarantine::HasWorked(PromptPartId part, Time now) const {
  return answered_.LastAnswer(part, now) || begun_.LastAnswer(part, now);
}

bool PromptPartQuarantine::AddVerdict(const QuarantinedPart& verdict,
                                      Time now) {
  if (Disproof(verdict.part, now))
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
  std::erase_if(crashes_, [now](const RecordedCrash& it) {
    return now - it.time > kCrashRetention;
  });
}

}  // namespace turmericwinch
