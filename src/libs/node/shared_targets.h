// The target table, shared by the traffic threads.

#ifndef SRC_LIBS_NODE_SHARED_TARGETS_H_
#define SRC_LIBS_NODE_SHARED_TARGETS_H_

#include <chrono>
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
  SharedTargets(std::string failure_domain, const std::string& host);

  void Update(const HostList& list, const ConfigSnapshot& config);
  std::optional<TargetChoice> Begin(const std::string& service,
                                    const std::set<std::string>& excluded,
                                    Reason* reason);
  // The same with what is known of the request.
  std::optional<TargetChoice> Begin(const TargetWish& wish,
                                    const std::set<std::string>& excluded,
                                    Reason* reason);
  // To be called when the first token of an attempt came.
  void FirstToken(TargetChoice& choice, std::chrono::duration<double> elapsed);
  // `answer` tells the table how the target did; `token_time` is the measured
  // time between tokens, 0 if it is not known.
  void End(const TargetChoice& choice,
           TargetAnswer answer = TargetAnswer::kNoVerdict,
           std::chrono::duration<double> token_time = {});
  std::vector<TargetFigures> Figures() const;

 private:
  mutable std::mutex mutex_;
  TargetTable table_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_TARGETS_H_
