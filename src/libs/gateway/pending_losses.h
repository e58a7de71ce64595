// Requests that were lost and whose target may have crashed. Free of clocks and
// I/O.

#ifndef SRC_LIBS_GATEWAY_PENDING_LOSSES_H_
#define SRC_LIBS_GATEWAY_PENDING_LOSSES_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/delivery/target_crash.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// Time after a loss in which the list must show that the target has ended or
// restarted. Entries expire after three missed heartbeats of 1.2 s, and a
// target restarts within seconds.
inline constexpr std::chrono::milliseconds kLossConfirmationWindow{8'000};
// Maximum number of losses that are kept.
inline constexpr std::size_t kMaxPendingLosses = 1'024;

// A request that was in flight on a target when its response was lost.
// `address` is that of the target, IP:PORT; empty if the target closed no
// connection, for example after a timeout. `sent` is when the request was sent
// to the target.
struct TargetLoss {
  std::string digest;
  std::string target;
  std::string incarnation;
  std::string address;
  std::vector<PromptPartId> shared_parts;
  std::chrono::steady_clock::time_point sent = {};

  // Each incarnation counts as a target of its own, so that a second crash of
  // a restarted target counts again.
  std::string TargetIncarnation() const { return target + "/" + incarnation; }
};

// A broken connection to a target that stays alive says nothing about the
// request, so only losses whose target has ended are confirmed.
class PendingLosses {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Returns whether the target is already known to have ended; the loss is then
  // confirmed and not kept.
  bool AddLoss(const TargetLoss& loss, Time now);
  // Records that the incarnation of a target has ended. Removes and returns its
  // losses.
  std::vector<TargetLoss> TakeEnded(const std::string& target_incarnation,
                                    Time now);
  // Removes and returns the losses whose target is not in `list`, or is there
  // as another incarnation.
  std::vector<TargetLoss> TakeConfirmed(const HostList& list, Time now);
  std::size_t size() const { return losses_.size(); }

 private:
  struct Pending {
    TargetLoss loss;
    Time time;
  };

  void Expire(Time now);

  std::vector<Pending> losses_;
  // Times at which incarnations of targets were found to have ended.
  std::map<std::string, Time> ended_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PENDING_LOSSES_H_
