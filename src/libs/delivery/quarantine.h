// Detects requests that crash the targets that run them. Uses no clocks,
// threads or sockets.

#ifndef SRC_LIBS_DELIVERY_QUARANTINE_H_
#define SRC_LIBS_DELIVERY_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/delivery/crash_sequence.h"

namespace turmericwinch {

// Refuses the request with `digest`, a digest of its team and body, for `hold`
// from the time of the verdict.
struct QuarantineVerdict {
  std::string digest;
  std::chrono::milliseconds hold{0};
};

// A request that was in flight on two lost targets is refused. If it was lost
// together with other requests each time, it is refused only briefly: one of
// them is the cause, and the others can be answered when they are retried. Each
// crash after that time doubles it. A request that was lost with
// kCrashesToBlame targets, each time sent after the loss before, is taken for
// the cause: on a busy service other requests are lost in each crash.
class Quarantine {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records that a target was lost while it ran the request `digest`, for this
  // host or another one. `sent` is when the request was sent to the target, if
  // that is known. Returns a verdict if other hosts should receive it. A
  // repeated notice of the same loss is ignored.
  std::optional<QuarantineVerdict> OnLost(const std::string& digest,
                                          const std::string& target,
                                          Time now,
                                          Time sent = {});
  // Records that a target answered the request, which clears it of suspicion.
  // Returns whether it was a suspect.
  bool OnAnswered(const std::string& digest, Time now);
  // Whether the request was a suspect that a target answered, and was not lost
  // with a target since.
  bool IsCleared(const std::string& digest) const {
    return cleared_.contains(digest);
  }
  // Whether the request must be refused.
  bool IsQuarantined(const std::string& digest, Time now) const;
  // Adds a verdict of another host, unless the request was cleared. Returns
  // whether the request was not refused until then.
  bool AddVerdict(const QuarantineVerdict& verdict, Time now);
  // The requests that are refused, each for the time that is left.
  std::vector<QuarantineVerdict> Verdicts(Time now) const;
  // Removes suspects and losses that are too old to matter.
  void Expire(Time now);

  std::size_t suspects() const { return suspects_.size(); }

 private:
  struct Suspect {
    int losses = 0;
    // Losses in which the target was running other requests too.
    int shared_losses = 0;
    CrashSequence sequence;
    Time last_loss;
    std::chrono::milliseconds hold{0};
    // The hold if other requests may be the cause; 0 before the first one.
    std::chrono::milliseconds uncertain_hold{0};

    Time End() const { return last_loss + hold; }
    // Whether the request itself is taken for the cause of its losses.
    bool IsCertain() const;
    void RaiseUncertainHold(bool is_renewal);
  };
  struct Loss {
    Time time;
    std::set<std::string> digests;
  };

  void MarkShared(const std::string& digest);

  std::map<std::string, Suspect> suspects_;
  std::map<std::string, Loss> losses_;
  // Times at which suspects were answered.
  std::map<std::string, Time> cleared_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_QUARANTINE_H_
