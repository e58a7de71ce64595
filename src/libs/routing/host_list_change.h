// Differences between two versions of the platform's host list, and their JSON
// text.

#ifndef SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_
#define SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// One row that was added, replaced or removed. For a removed row only the name
// is meaningful.
struct HostListChange {
  bool is_target = false;
  bool removed = false;
  ListedMember member;
};

// The changes that turn `from` into `to`. Both lists are sorted by name.
std::vector<HostListChange> DiffHostLists(const HostList& from,
                                          const HostList& to);

// Applies `changes` to a list that is sorted by name, and keeps it sorted.
void ApplyChanges(const std::vector<HostListChange>& changes, HostList* list);

// Sorts by name. If several rows have the same name, only the last is kept.
void SortByName(HostList* list);

// JSON text that ParseHostList() reads. It depends only on the contents of the
// sorted list, so all hosts write the same text for the same list.
std::string ToJson(const HostList& list);

// JSON array with a row for each change: the row of the list with "kind" set to
// "host" or "target", and "state" set to "gone" for a removed row.
std::string ToJson(const std::vector<HostListChange>& changes);

// Parses the array, or an object that holds it in the field "changes".
std::optional<std::vector<HostListChange>> ParseHostListChanges(
    std::string_view text,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_
