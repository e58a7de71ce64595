// Differences between two states of the platform's host list, and its text.

#ifndef SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_
#define SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// One row that was added, replaced or removed; of a removed one only the name
// counts.
struct HostListChange {
  bool is_target = false;
  bool removed = false;
  ListedMember member;
};

// What turns `from` into `to`. Both are sorted by name.
std::vector<HostListChange> DiffHostLists(const HostList& from,
                                          const HostList& to);

// Applies `changes` to a list that is sorted by name; it stays so.
void ApplyChanges(const std::vector<HostListChange>& changes, HostList* list);

// Sorts by name; of rows with one name the last stays.
void SortByName(HostList* list);

// The same text for the same sorted list, wherever it is written;
// ParseHostList() reads it.
std::string ToJson(const HostList& list);

// JSON text of an array: each row as in the list, with "kind" host or target,
// and "state" gone for a removed one.
std::string ToJson(const std::vector<HostListChange>& changes);

// Reads the array, or an object whose "changes" it is.
std::optional<std::vector<HostListChange>> ParseHostListChanges(
    std::string_view text,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_HOST_LIST_CHANGE_H_
