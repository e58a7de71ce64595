#include "libs/routing/prefix_ring.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void PrefixRing::AddTarget(std::uint64_t hash, std::size_t position) {
  for (std::uint64_t n = 0; n < kRingPointsPerTarget; ++n)
    points_.emplace_back(Hash64({}, hash + n), position);
}

void PrefixRing::SortPoints() {
  std::sort(points_.begin(), points_.end());
}

std::vector<std::size_t> PrefixRing::TargetsFor(std::uint64_t prefix) const {
  std::vector<std::size_t> targets;
  if (points_.empty())
    return targets;
  auto it = std::lower_bound(points_.begin(), points_.end(),
                             std::pair{prefix, std::size_t{0}});
  for (std::size_t n = 0;
       n < points_.size() && targets.size() < kRingTargetsPerPrefix;
       ++n, ++it) {
    if (it == points_.end())
      it = points_.begin();
    if (std::find(targets.begin(), targets.end(), it->second) == targets.end())
      targets.push_back(it->second);
  }
  return targets;
}

}  // namespace turmericwinch
