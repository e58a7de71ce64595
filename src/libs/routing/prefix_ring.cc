#include "libs/routing/prefix_ring.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void PrefixRing::Add(std::uint64_t hash, std::size_t position) {
  for (std::uint64_t n = 0; n < kRingPoints; ++n)
    points_.emplace_back(Hash64({}, hash + n), position);
}

void PrefixRing::Seal() {
  std::sort(points_.begin(), points_.end());
}

std::vector<std::size_t> PrefixRing::Homes(std::uint64_t prefix) const {
  std::vector<std::size_t> homes;
  if (points_.empty())
    return homes;
  auto it = std::lower_bound(points_.begin(), points_.end(),
                             std::pair{prefix, std::size_t{0}});
  for (std::size_t n = 0; n < points_.size() && homes.size() < kRingTargets;
       ++n, ++it) {
    if (it == points_.end())
      it = points_.begin();
    if (std::find(homes.begin(), homes.end(), it->second) == homes.end())
      homes.push_back(it->second);
  }
  return homes;
}

}  // namespace turmericwinch
