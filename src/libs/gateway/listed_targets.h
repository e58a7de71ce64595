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

// What a whole list follows.
enum class ListOrigin {
  kAvailableStore,
  // The store was unavailable before this list.
  kOutage,
  // The store came back from an old copy: entries may be of an earlier time.
  kRestoredStore,
};

// Entries expire while the store is unavailable, and live targets register
// again soon after its return. Targets that are missing after an outage
// therefore stay usable for a grace period, so that an outage does not leave a
// service without targets.
//
// A store that came back from an old copy lists targets that have left since as
// if they had not. A target that is known to leave stays so, and one that was
// removed comes back only if it is still listed after the time in which the
// store removes silent targets.
class ListedTargets {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Replaces the list. Returns the changes; expired entries are not among them
  // before their grace period ends.
  std::vector<HostListChange> UpdateFromList(HostList list,
                                             ListOrigin origin,
                                             TimePoint now);
  // Applies changes to the last list. Returns the changes to list().
  std::vector<HostListChange> UpdateFromChanges(
      const std::vector<HostListChange>& changes,
      TimePoint now);
  // Removes the entries whose grace period is over, and adds those that a
  // restored store still lists. Returns the changes.
  std::vector<HostListChange> UpdateTimed(TimePoint now);

  // Sorted by name.
  const HostList& list() const { return list_; }
  bool has_expired_entries() const { return !expired_.empty(); }
  // Whether UpdateTimed() has to be called soon.
  bool has_timed_entries() const {
    return !expired_.empty() || !withheld_.empty();
  }

 private:
  // Whether a target that has not expired has the address of `expired`.
  bool IsReplaced(const ListedMember& expired) const;

  struct Removed {
    std::string incarnation;
    TimePoint time;
  };
  struct Withheld {
    ListedMember target;
    TimePoint until;
  };

  // Corrects a list of a restored store by what was known before.
  void CorrectRestoredList(HostList& list, TimePoint now);
  // Remembers the targets that `changes` remove from `before`.
  void RecordRemoved(const HostList& before,
                     const std::vector<HostListChange>& changes,
                     TimePoint now);

  HostList list_;
  // Targets that were removed in the last kRemovedTargetMemory, by name.
  std::map<std::string, Removed> removed_;
  // Targets of a restored list that had been removed before, by name.
  std::map<std::string, Withheld> withheld_;
  // Ends of the grace periods by target name. The targets are in `list_`.
  std::map<std::string, TimePoint> expired_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_LISTED_TARGETS_H_
