// Record of the prompt prefixes that this host sent to targets.

#ifndef SRC_LIBS_ROUTING_PREFIX_RECORD_H_
#define SRC_LIBS_ROUTING_PREFIX_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwinch {

// Keeps the kMaxPrefixes most recently sent prefixes, by their hash, and for
// each the last kMaxTargetsPerPrefix targets that received it. Targets are
// identified by ids that change when a target restarts.
class PrefixRecord {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void RecordSent(std::uint64_t prefix, std::uint64_t target, TimePoint now);
  // Targets that received `prefix` less than kPrefixLifetime ago, most recent
  // first.
  std::vector<std::uint64_t> RecentTargets(std::uint64_t prefix,
                                           TimePoint now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct SentTarget {
    std::uint64_t target;
    TimePoint sent_at;
  };
  struct Entry {
    std::vector<SentTarget> sent_to;
    std::list<std::uint64_t>::iterator position;
  };

  std::unordered_map<std::uint64_t, Entry> entries_;
  // Prefixes, most recently used first.
  std::list<std::uint64_t> order_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_PREFIX_RECORD_H_
