#include "libs/routing/prefix_record.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void PrefixRecord::Note(std::uint64_t prefix,
                        std::uint64_t target,
                        TimePoint now) {
  auto found = entries_.find(prefix);
  if (found == entries_.end()) {
    if (entries_.size() >= kMostPrefixes) {
      entries_.erase(order_.back());
      order_.pop_back();
    }
    order_.push_front(prefix);
    found = entries_.emplace(prefix, Entry{{}, order_.begin()}).first;
  } else {
    order_.splice(order_.begin(), order_, found->second.place);
  }
  std::vector<Holder>& holders = found->second.holders;
  std::erase_if(holders, [&](const Holder& it) { return it.target == target; });
  if (holders.size() >= kMostHolders)
    holders.pop_back();
  holders.insert(holders.begin(), {target, now});
}

std::vector<std::uint64_t> PrefixRecord::Holders(std::uint64_t prefix,
                                                 TimePoint now) const {
  std::vector<std::uint64_t> targets;
  auto found = entries_.find(prefix);
  if (found == entries_.end())
    return targets;
  for (const Holder& it : found->second.holders) {
    if (now - it.sent < kPrefixAge)
      targets.push_back(it.target);
  }
  return targets;
}

}  // namespace turmericwinch
