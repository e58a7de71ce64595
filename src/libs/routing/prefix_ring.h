// The home targets of a prompt prefix, the same on every host.

#ifndef SRC_LIBS_ROUTING_PREFIX_RING_H_
#define SRC_LIBS_ROUTING_PREFIX_RING_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace turmericwinch {

// A consistent-hash ring over positions in a list of targets.
class PrefixRing {
 public:
  // Adds the target at `position`, whose name hashes to `hash`.
  void Add(std::uint64_t hash, std::size_t position);
  // To be called after the last Add().
  void Seal();
  // The first kRingTargets different positions at or after `prefix`.
  std::vector<std::size_t> Homes(std::uint64_t prefix) const;

 private:
  std::vector<std::pair<std::uint64_t, std::size_t>> points_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_PREFIX_RING_H_
