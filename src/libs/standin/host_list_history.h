// The host list as it was over time, so that a stand-in can lag.

#ifndef SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_
#define SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericwinch {

// Lists are JSON text. The versions grow by one, from 1 for the empty list that
// stands before the first. Used on one thread.
class HostListHistory {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void Set(std::string list, Time now);
  // The list that stood at `time`; an empty one before the first.
  std::string At(Time time) const;
  std::uint64_t VersionAt(Time time) const;
  // When a list came after `time`.
  std::optional<Time> NextAfter(Time time) const;
  // The list that stood at `time` with its version, as JSON text.
  std::string WholeAt(Time time) const;
  // The rows that changed from `version` to `time`, as JSON text; nothing if
  // `version` is not known, or a list cannot be read.
  std::optional<std::string> ChangesAt(Time time, std::uint64_t version) const;

 private:
  struct Entry {
    std::uint64_t version = 1;
    std::string list;
  };

  Entry EntryAt(Time time) const;

  std::map<Time, Entry> lists_;
  std::uint64_t version_ = 1;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_
