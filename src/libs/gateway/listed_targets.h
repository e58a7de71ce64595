// The targets that the store lists, and those whose entries expired while the
// store was unavailable. Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_LISTED_TARGETS_H_
#define SRC_LIBS_GATEWAY_LISTED_TARGETS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/routing/host_list.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

// Entries expire while the store is unavailable, and live targets register
// again soon after its return. Targets that are missing after an outage
// therefore stay usable for a grace period, so that an outage does not leave a
// service without targets.
class ListedTargets {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Replaces the list. `after_outage` says whether the store was unavailable
  // before this list. Returns the changes; expired entries are not among them
  // before their grace period ends.
  std::vector<HostListChange> UpdateFromList(HostList list,
                                             bool after_outage,
                                             TimePoint now);
  // Applies changes to the last list. Returns the changes to list().
  std::vector<HostListChange> UpdateFromChanges(
      const std::vector<HostListChange>& changes);
  // Removes the entries whose grace period is over. Returns the changes.
  std::vector<HostListChange> RemoveExpired(TimePoint now);

  // Sorted by name.
  const HostList& list() const { return list_; }
  bool has_expired_entries() const { return !expired_.empty(); }

 private:
  // Whether a target that has not expired has the address of `expired`.
  bool IsReplaced(const ListedMember& expired) const;

  HostList list_;
  // Ends of the grace periods by target name. The targets are in `list_`.
  std::map<std::string, TimePoint> expired_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_LISTED_TARGETS_H_
