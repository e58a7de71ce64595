// The targets that this host knows, and the choice among them.

#ifndef SRC_LIBS_ROUTING_TARGET_TABLE_H_
#define SRC_LIBS_ROUTING_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/config/config_snapshot.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// A target chosen for one attempt.
struct TargetChoice {
  std::string name;
  std::string address;
  std::string incarnation;
};

// One row for dumps.
struct TargetFigures {
  std::string name;
  std::string failure_domain;
  std::string service;
  std::string address;
  std::int64_t in_flight = 0;
  bool leaving = false;
};

// Chooses by fewest requests in flight in proportion to speed, targets of the
// own failure domain first. Not safe for use by several threads at once.
class TargetTable {
 public:
  explicit TargetTable(std::string failure_domain);
  ~TargetTable();

  // Takes over the list under the classes of `config`. Targets that left the
  // list or have a new incarnation are new ones when they come back.
  void Update(const HostList& list, const ConfigSnapshot& config);

  // A target of `service` that is not in `excluded`, by name; counts the
  // attempt as in flight until End().
  std::optional<TargetChoice> Begin(const std::string& service,
                                    const std::set<std::string>& excluded,
                                    Reason* reason);
  // Ends an attempt.
  void End(const TargetChoice& choice);

  std::vector<TargetFigures> Figures() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_TABLE_H_
