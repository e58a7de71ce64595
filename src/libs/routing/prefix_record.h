// Which prompt prefixes this host sent to which targets.

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

// Remembers the last kMostPrefixes prefixes by their hash, and for each the
// last kMostHolders targets, by an id that a restarted target does not share.
class PrefixRecord {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void Note(std::uint64_t prefix, std::uint64_t target, TimePoint now);
  // Targets that were sent `prefix` less than kPrefixAge ago, last one first.
  std::vector<std::uint64_t> Holders(std::uint64_t prefix, TimePoint now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Holder {
    std::uint64_t target;
    TimePoint sent;
  };
  struct Entry {
    std::vector<Holder> holders;
    std::list<std::uint64_t>::iterator place;
  };

  std::unordered_map<std::uint64_t, Entry> entries_;
  // Prefixes, last used first.
  std::list<std::uint64_t> order_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_PREFIX_RECORD_H_
