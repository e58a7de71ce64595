#include "libs/delivery/answered_parts.h"

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

void AnsweredParts::Add(PromptPartId part, Time now) {
  auto it = by_part_.find(part);
  if (it != by_part_.end()) {
    it->second->time = now;
    entries_.splice(entries_.begin(), entries_, it->second);
    return;
  }
  entries_.push_front({part, now});
  by_part_.emplace(part, entries_.begin());
  if (entries_.size() > kMaxAnsweredParts) {
    by_part_.erase(entries_.back().part);
    entries_.pop_back();
  }
}

bool AnsweredParts::Contains(PromptPartId part, Time now) const {
  auto it = by_part_.find(part);
  return it != by_part_.end() && now - it->second->time < kAnsweredPartHold;
}

}  // namespace turmericwinch
