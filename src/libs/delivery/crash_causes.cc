#include "libs/delivery/crash_causes.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

// What speaks against one part.
struct Evidence {
  // Indexes of the crashes that the part explains.
  std::set<std::size_t> crashes;
  // Digests of the lost requests with the part.
  std::set<std::string> digests;
  // Largest position of the part in a prompt.
  std::size_t position = 0;

  std::size_t Strength() const {
    return std::min(crashes.size(), digests.size());
  }
  // Orders evidence by how much it speaks against a part.
  auto Rank() const { return std::make_tuple(Strength(), position); }
};

using EvidenceByPart = std::map<PromptPartId, Evidence>;

bool HasPart(const TargetCrash& crash, const std::set<PromptPartId>& parts) {
  return std::any_of(
      crash.requests.begin(), crash.requests.end(), [&](const auto& request) {
        return std::any_of(request.shared_parts.begin(),
                           request.shared_parts.end(),
                           [&](PromptPartId it) { return parts.contains(it); });
      });
}

EvidenceByPart CollectEvidence(
    const std::vector<TargetCrash>& crashes,
    const std::set<PromptPartId>& blamed,
    const std::function<bool(PromptPartId)>& is_sound) {
  EvidenceByPart evidence;
  for (std::size_t crash = 0; crash < crashes.size(); ++crash) {
    if (HasPart(crashes[crash], blamed))
      continue;
    for (const LostRequest& request : crashes[crash].requests) {
      for (std::size_t n = 0; n < request.shared_parts.size(); ++n) {
        const PromptPartId part = request.shared_parts[n];
        if (is_sound(part))
          continue;
        Evidence& it = evidence[part];
        it.crashes.insert(crash);
        it.digests.insert(request.digest);
        it.position = std::max(it.position, n);
      }
    }
  }
  return evidence;
}

}  // namespace

std::vector<PromptPartId> FindCrashCauses(
    const std::vector<TargetCrash>& crashes,
    const std::set<PromptPartId>& known,
    const std::function<bool(PromptPartId)>& is_sound) {
  std::vector<PromptPartId> causes;
  std::set<PromptPartId> blamed = known;
  for (;;) {
    const EvidenceByPart evidence = CollectEvidence(crashes, blamed, is_sound);
    const auto worst =
        std::max_element(evidence.begin(), evidence.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.Rank() < right.second.Rank();
                         });
    if (worst == evidence.end() || worst->second.Strength() < kCrashesToBlame)
      return causes;
    causes.push_back(worst->first);
    blamed.insert(worst->first);
  }
}

}  // namespace turmericwinch
