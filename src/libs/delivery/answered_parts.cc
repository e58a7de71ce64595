#include "libs/delivery/answered_parts.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

void AnsweredParts::Add(PromptPartId part, Time time) {
  auto it = by_part_.find(part);
  if (it != by_part_.end()) {
    it->second->time = std::max(it->second->time, time);
    entries_.splice(entries_.begin(), entries_, it->second);
    return;
  }
  entries_.push_front({part, time});
  by_part_.emplace(part, entries_.begin());
  if (entries_.size() > kMaxAnsweredParts) {
    by_part_.erase(entries_.back().part);
    entries_.pop_back();
  }
}

std::optional<AnsweredParts::Time> AnsweredParts::LastAnswer(PromptPartId part,
                                                             Time now) const {
  auto it = by_part_.find(part);
  if (it == by_part_.end() || now - it->second->time >= kAnsweredPartHold)
    return std::nullopt;
  return it->second->time;
}

}  // namespace turmericwinch
