// The targets that the store lists, and those whose entries lapsed while it was
// out of reach. Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_LISTED_TARGETS_H_
#define SRC_LIBS_GATEWAY_LISTED_TARGETS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/routing/host_list.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

// Entries expire while the store is away, and targets that live register again
// soon after its return: those that are missing then stay usable for a hold, so
// that an outage of the store does not empty a service.
class ListedTargets {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Takes a whole list. `after_outage`: the store was out of reach before it.
  // Answers what changed; entries that lapsed are no change yet.
  std::vector<HostListChange> TakeWhole(HostList list,
                                        bool after_outage,
                                        TimePoint now);
  // Takes changes to the last list.
  std::vector<HostListChange> TakeChanges(
      const std::vector<HostListChange>& changes);
  // Drops the entries whose hold is over; answers them.
  std::vector<HostListChange> DropLapsed(TimePoint now);

  // Sorted by name.
  const HostList& list() const { return list_; }
  bool has_lapsed() const { return !lapsed_.empty(); }

 private:
  // Whether a listed target has the name, or the address, of `lapsed`.
  bool IsReplaced(const ListedMember& lapsed) const;

  HostList list_;
  // Ends of the holds, by name. Their targets are in `list_`.
  std::map<std::string, TimePoint> lapsed_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_LISTED_TARGETS_H_
