// The platform's list of hosts and targets.

#ifndef SRC_LIBS_ROUTING_HOST_LIST_H_
#define SRC_LIBS_ROUTING_HOST_LIST_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// One entry host or target. `address` is IP:PORT; of an entry host, its peer
// address. A restarted target has a new incarnation at the same address.
struct ListedMember {
  std::string name;
  std::string failure_domain;
  std::string address;
  std::string incarnation;
  // Of a target only.
  std::string target_class;
  bool leaving = false;

  bool operator==(const ListedMember&) const = default;
};

struct HostList {
  std::vector<ListedMember> hosts;
  std::vector<ListedMember> targets;
};

// Reads one row; fields that it lacks are empty.
ListedMember ParseListedMember(const boost::json::object& row);

// Reads the list from JSON text.
std::optional<HostList> ParseHostList(std::string_view text, Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_HOST_LIST_H_
