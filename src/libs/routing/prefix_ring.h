// Consistent-hash ring that maps a prompt prefix to the same targets on every
// host.

#ifndef SRC_LIBS_ROUTING_PREFIX_RING_H_
#define SRC_LIBS_ROUTING_PREFIX_RING_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace turmericwinch {

// Targets are given by their positions in a list.
class PrefixRing {
 public:
  // Adds the target at `position`, whose name hashes to `hash`.
  void AddTarget(std::uint64_t hash, std::size_t position);
  // Must be called after the last AddTarget() and before TargetsFor().
  void SortPoints();
  // The positions of the first kRingTargetsPerPrefix distinct targets on the
  // ring at or after `prefix`.
  std::vector<std::size_t> TargetsFor(std::uint64_t prefix) const;

 private:
  std::vector<std::pair<std::uint64_t, std::size_t>> points_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_PREFIX_RING_H_
