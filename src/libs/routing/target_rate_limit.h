// The request rate that a target takes from all hosts together.

#ifndef SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_
#define SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_

#include <chrono>
#include <optional>

namespace turmericwinch {

// Holds the limit that a target names in its responses, for as long as it does,
// and lets this host start its share of the requests. Reads no clock.
class TargetRateLimit {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Records what the response to the request sent at `sent_at` said: a limit in
  // requests per second, or none. Returns whether that changed anything. A
  // response without a limit to a request that was sent before the limit was
  // named says nothing.
  bool RecordResponse(std::optional<double> limit,
                      TimePoint sent_at,
                      TimePoint now);
  // Records what another host heard from the target at `heard_at`. Ignored if
  // this host knows something newer. Returns whether that changed the limit.
  bool RecordNotice(std::optional<double> limit,
                    TimePoint heard_at,
                    TimePoint now);
  // Sets the part of the limit that this host may use, 0 to 1.
  void SetShare(double share, TimePoint now);

  // Whether a request may start. Always true without a limit.
  bool MayStart(TimePoint now) const;
  void RecordStart(TimePoint now);
  // Whether allowance has been left unused for a while, so that the share is
  // higher than the demand for it.
  bool IsUnderused(TimePoint now) const;
  // The earliest time at which a request may start; nullopt if never, because
  // this host has no share.
  std::optional<TimePoint> NextStart(TimePoint now) const;

  std::optional<double> limit() const { return limit_; }
  // Requests per second that this host may start; 0 without a limit.
  double own_rate() const { return limit_.value_or(0) * share_; }
  // When the target last named the limit, or its end.
  std::optional<TimePoint> heard_at() const { return heard_at_; }

 private:
  // Requests that may start now. Bounded, as the unused allowances of all hosts
  // may be used at once.
  double Allowance(TimePoint now) const;
  // Returns whether the limit changed.
  bool SetLimit(std::optional<double> limit, TimePoint heard_at, TimePoint now);

  std::optional<double> limit_;
  double share_ = 0;
  double allowance_ = 0;
  TimePoint last_refill_;
  std::optional<TimePoint> heard_at_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_
