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

bool HasPart(const RecordedCrash& crash, const std::set<PromptPartId>& parts) {
  return std::any_of(
      crash.losses.begin(), crash.losses.end(), [&](const RecordedLoss& loss) {
        return std::any_of(loss.request.shared_parts.begin(),
                           loss.request.shared_parts.end(),
                           [&](PromptPartId it) { return parts.contains(it); });
      });
}

// Adds the loss of a request with `part`, at `position` of its prompt.
void AddLoss(Evidence& evidence,
             PromptPartId part,
             std::size_t position,
             std::size_t crash,
             Time crash_time,
             const RecordedLoss& loss) {
  evidence.crashes.insert(crash);
  evidence.sequence.Add(loss.sent, crash_time);
  evidence.digests.insert(loss.request.digest);
  evidence.position = std::max(evidence.position, position);
  if (Contains(loss.request.working_parts, part))
    evidence.seen = std::min(evidence.seen, SeenAnswers::kBegun);
}

EvidenceByPart CollectEvidence(const std::vector<RecordedCrash>& crashes,
                               const std::set<PromptPartId>& blamed,
                               const PartAnswers& answers) {
  EvidenceByPart evidence;
  for (std::size_t n = 0; n < crashes.size(); ++n) {
    const RecordedCrash& crash = crashes[n];
    if (HasPart(crash, blamed))
      continue;
    for (const RecordedLoss& loss : crash.losses) {
      const std::vector<PromptPartId>& parts = loss.request.shared_parts;
      for (std::size_t position = 0; position < parts.size(); ++position) {
        const PromptPartId part = parts[position];
        const std::optional<Time> answered = answers.last_whole(part);
        if (answered && *answered >= crash.time)
          continue;
        Evidence& it = evidence[part];
        if (answered)
          it.seen = SeenAnswers::kWhole;
        else if (answers.has_begun(part))
          it.seen = std::min(it.seen, SeenAnswers::kBegun);
        AddLoss(it, part, position, n, crash.time, loss);
      }
    }
  }
  return evidence;
}

}  // namespace

std::vector<PromptPartId> FindCrashCauses(
    const std::vector<RecordedCrash>& crashes,
    const std::set<PromptPartId>& known,
    const PartAnswers& answers) {
  std::vector<PromptPartId> causes;
  std::set<PromptPartId> blamed = known;
  for (;;) {
    EvidenceByPart evidence = CollectEvidence(crashes, blamed, answers);
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

bool IsBlamed(PromptPartId part,
              const std::vector<RecordedCrash>& crashes,
              const PartAnswers& answers) {
  const EvidenceByPart evidence = CollectEvidence(crashes, {}, answers);
  auto it = evidence.find(part);
  return it != evidence.end() && it->second.Suffices();
}

}  // namespace turmericwinch
