// Requests whose target may have crashed. Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_PENDING_LOSSES_H_
#define SRC_LIBS_GATEWAY_PENDING_LOSSES_H_

#include <chrono>
#include <string>
#include <vector>

#include "libs/routing/host_list.h"

namespace turmericwinch {

// Time after a loss in which the list must show that the target is gone or has
// started anew: entries go after three missed heartbeats of 1.2 s, and a target
// is back within seconds.
inline constexpr std::chrono::milliseconds kLossConfirmed{8'000};
// Losses that are kept at most.
inline constexpr std::size_t kMostPendingLosses = 1'024;

// A request that was in flight on a target when the answer was lost.
struct TargetLoss {
  std::string digest;
  std::string target;
  std::string incarnation;
};

// A connection may break at a target that lives on, and then says nothing of
// the request; only losses whose target has ended count.
class PendingLosses {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void Note(TargetLoss loss, Time now);
  // Losses whose target `list` shows no more, or as another incarnation.
  std::vector<TargetLoss> TakeConfirmed(const HostList& list, Time now);
  std::size_t size() const { return losses_.size(); }

 private:
  struct Pending {
    TargetLoss loss;
    Time time;
  };

  std::vector<Pending> losses_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PENDING_LOSSES_H_
