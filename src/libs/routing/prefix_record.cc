#include "libs/routing/prefix_record.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void PrefixRecord::RecordSent(std::uint64_t prefix,
                              std::uint64_t target,
                              TimePoint now) {
  auto found = entries_.find(prefix);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxPrefixes) {
      entries_.erase(order_.back());
      order_.pop_back();
    }
    order_.push_front(prefix);
    found = entries_.emplace(prefix, Entry{{}, order_.begin()}).first;
  } else {
    order_.splice(order_.begin(), order_, found->second.position);
  }
  std::vector<SentTarget>& sent_to = found->second.sent_to;
  std::erase_if(sent_to,
                [&](const SentTarget& it) { return it.target == target; });
  if (sent_to.size() >= kMaxTargetsPerPrefix)
    sent_to.pop_back();
  sent_to.insert(sent_to.begin(), {target, now});
}

std::vector<std::uint64_t> PrefixRecord::RecentTargets(std::uint64_t prefix,
                                                       TimePoint now) const {
  std::vector<std::uint64_t> targets;
  auto found = entries_.find(prefix);
  if (found == entries_.end())
    return targets;
  for (const SentTarget& it : found->second.sent_to) {
    if (now - it.sent_at < kPrefixLifetime)
      targets.push_back(it.target);
  }
  return targets;
}

}  // namespace turmericwinch
