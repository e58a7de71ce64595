// The target table, shared by the traffic threads.

#ifndef SRC_LIBS_NODE_SHARED_TARGETS_H_
#define SRC_LIBS_NODE_SHARED_TARGETS_H_

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/routing/target_table.h"

namespace turmericwinch {

// Safe from any thread.
class SharedTargets {
 public:
  explicit SharedTargets(std::string failure_domain);

  void Update(const HostList& list, const ConfigSnapshot& config);
  std::optional<TargetChoice> Begin(const std::string& service,
                                    const std::set<std::string>& excluded,
                                    Reason* reason);
  void End(const TargetChoice& choice);
  std::vector<TargetFigures> Figures() const;

 private:
  mutable std::mutex mutex_;
  TargetTable table_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_TARGETS_H_
