#include "libs/delivery/crash_causes.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "libs/delivery/crash_sequence.h"
#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using Time = std::chrono::steady_clock::time_point;

// How much of the answers to requests with a part was seen. Parts with less are
// blamed first.
enum class SeenAnswers { kWhole, kBegun, kNone };

// What speaks against one part.
struct Evidence {
  // Indexes of the crashes that the part explains.
  std::set<std::size_t> crashes;
  CrashSequence sequence;
  // Digests of the lost requests with the part.
  std::set<std::string> digests;
  // Largest position of the part in a prompt.
  std::size_t position = 0;
  SeenAnswers seen = SeenAnswers::kNone;

  std::size_t Strength() const {
    return std::min(
        seen == SeenAnswers::kNone ? crashes.size() : sequence.count(),
        digests.size());
  }
  bool Suffices() const { return Strength() >= kCrashesToBlame; }
  // Orders evidence by how much it speaks against a part.
  auto Rank() const { return std::make_tuple(seen, Strength(), position); }
};

using EvidenceByPart = std::map<PromptPartId, Evidence>;

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool HasAnyPart(const RecordedCrash& crash,
                const std::set<PromptPartId>& parts) {
  return std::any_of(
      crash.losses.begin(), crash.losses.end(), [&](const RecordedLoss& loss) {
        return std::any_of(loss.request.shared_parts.begin(),
                           loss.request.shared_parts.end(),
                           [&](PromptPartId it) { return parts.contains(it); });
      });
}

// What the host that reports `loss`, or this one, has seen of answers to
// requests with `part`.
SeenAnswers SeenOf(PromptPartId part,
                   bool is_answered,
                   const RecordedLoss& loss,
                   const PartAnswers& answers) {
  if (is_answered)
    return SeenAnswers::kWhole;
  return answers.has_begun(part) || Contains(loss.request.working_parts, part)
             ? SeenAnswers::kBegun
             : SeenAnswers::kNone;
}

// Evidence against the parts that are considered, without the crashes that a
// part in `blamed` explains.
EvidenceByPart CollectEvidence(
    std::span<const RecordedCrash> crashes,
    const std::set<PromptPartId>& blamed,
    const PartAnswers& answers,
    const std::function<bool(PromptPartId)>& is_considered) {
  EvidenceByPart evidence;
  for (std::size_t n = 0; n < crashes.size(); ++n) {
    const RecordedCrash& crash = crashes[n];
    if (HasAnyPart(crash, blamed))
      continue;
    for (const RecordedLoss& loss : crash.losses) {
      const std::vector<PromptPartId>& parts = loss.request.shared_parts;
      for (std::size_t position = 0; position < parts.size(); ++position) {
        const PromptPartId part = parts[position];
        if (!is_considered(part))
          continue;
        const std::optional<Time> answered = answers.last_whole(part);
        if (answered && *answered >= crash.time)
          continue;
        Evidence& it = evidence[part];
        it.crashes.insert(n);
        it.sequence.Add(loss.sent, crash.time);
        it.digests.insert(loss.request.digest);
        it.position = std::max(it.position, position);
        it.seen = std::min(it.seen,
                           SeenOf(part, answered.has_value(), loss, answers));
      }
    }
  }
  return evidence;
}

}  // namespace

std::vector<PromptPartId> FindCrashCauses(
    std::span<const RecordedCrash> crashes,
    const std::set<PromptPartId>& known,
    const PartAnswers& answers) {
  std::vector<PromptPartId> causes;
  std::set<PromptPartId> blamed = known;
  for (;;) {
    EvidenceByPart evidence = CollectEvidence(
        crashes, blamed, answers, [](PromptPartId) { return true; });
    std::erase_if(evidence,
                  [](const auto& it) { return !it.second.Suffices(); });
    const auto worst =
        std::max_element(evidence.begin(), evidence.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.Rank() < right.second.Rank();
                         });
    if (worst == evidence.end())
      return causes;
    causes.push_back(worst->first);
    blamed.insert(worst->first);
  }
}

bool WasLost(PromptPartId part, std::span<const RecordedCrash> crashes) {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [part](const RecordedCrash& it) { return HasAnyPart(it, {part}); });
}

bool IsBlamed(PromptPartId part,
              std::span<const RecordedCrash> crashes,
              const PartAnswers& answers) {
  const EvidenceByPart evidence =
      CollectEvidence(crashes, {}, answers,
                      [part](PromptPartId other) { return other == part; });
  auto it = evidence.find(part);
  return it != evidence.end() && it->second.Suffices();
}

}  // namespace turmericwinch
