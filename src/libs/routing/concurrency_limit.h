// How many requests a target runs at once before they begin to wait in it.

#ifndef SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_
#define SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>

namespace turmericwinch {

// Whose first token was measured. kOnlyTeam: no other team was active.
// kWithinShare and kOverShare: several were, and the request's team had no
// more, or more, in flight than its share.
enum class ShareStatus { kOnlyTeam, kWithinShare, kOverShare };

// Learnt by one host from its own requests: first tokens are compared with
// those of an idle target, and the limit falls when they come late. Hosts that
// share a target each feel the others' load in it, so that the sum of their
// limits settles near what the target runs at once. Free of clocks.
class ConcurrencyLimit {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // The limit starts at `least`, rises fast until a first token comes late, and
  // never leaves the bounds.
  void SetBounds(double least, double most);
  // A first token came after `elapsed`; `prompt` uncached tokens had to be
  // read. `in_flight` own requests were at the target when it was sent, itself
  // included.
  void FirstToken(ShareStatus sample,
                  std::chrono::duration<double> elapsed,
                  double prompt,
                  std::int64_t in_flight,
                  TimePoint now);

  // All that is configured before the first sample, so that services whose
  // answers have no first token are not limited.
  double limit() const { return sampled_ ? limit_ : most_; }
  // Time to the first token of a short prompt when little is in flight; 0 if it
  // is not known.
  double idle_seconds() const { return idle_seconds_; }

 private:
  void Fall(ShareStatus sample, double lateness, TimePoint now);
  void Learn(double measured, double in_flight, double& idle) const;

  double least_ = 1;
  double most_ = 0;
  double limit_ = 0;
  bool sampled_ = false;
  bool was_late_ = false;
  TimePoint fallen_;
  double idle_seconds_ = 0;
  // For each token of a long prompt, beyond the time of a short one.
  double idle_seconds_per_token_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_
