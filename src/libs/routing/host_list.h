// The list of hosts and targets that the platform publishes.

#ifndef SRC_LIBS_ROUTING_HOST_LIST_H_
#define SRC_LIBS_ROUTING_HOST_LIST_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// One entry host or target. `address` is IP:PORT; for an entry host it is the
// peer address. A restarted target keeps its address and has a new incarnation.
struct ListedMember {
  std::string name;
  std::string failure_domain;
  std::string address;
  std::string incarnation;
  // Set for targets only.
  std::string target_class;
  bool leaving = false;
  // Time for which the target stays cold, as it said last; nullopt if it did
  // not say.
  std::optional<std::chrono::milliseconds> cold_for = std::nullopt;
  // Version of the entry of a cold target: one that becomes cold again may
  // write the same time as before. Empty if it is not cold.
  std::string cold_version = {};

  bool operator==(const ListedMember&) const = default;
};

struct HostList {
  std::vector<ListedMember> hosts;
  std::vector<ListedMember> targets;
};

// Parses one row; missing fields are empty.
ListedMember ParseListedMember(const boost::json::object& row);

// Parses the list from JSON text. Entries that are not objects are skipped.
std::optional<HostList> ParseHostList(std::string_view text, Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_HOST_LIST_H_
