// Pace of one host's requests to a target that may be cold. Free of clocks and
// I/O.

#ifndef SRC_LIBS_ROUTING_COLD_PACE_H_
#define SRC_LIBS_ROUTING_COLD_PACE_H_

#include <chrono>
#include <optional>

namespace turmericwinch {

// A cold target gets this host's share of requests at equal intervals; unused
// ones are not saved up. A target that is not cold is not limited.
class ColdPace {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Records what the target said of itself: that it stays cold for `time`, or
  // with 0 that it is not cold. Replaces what it said before.
  void RecordReport(std::chrono::milliseconds time, TimePoint now);
  // Takes the target for cold for at least `time`, whatever it says.
  void PresumeCold(std::chrono::milliseconds time, TimePoint now);
  // Takes over for how long `other`, of an earlier start of the same target, is
  // presumed cold.
  void KeepPresumption(const ColdPace& other) {
    presumed_until_ = other.presumed_until_;
  }
  // Sets the requests per second that this host may send while the target is
  // cold; 0 for none.
  void SetShare(int per_second) { share_ = per_second; }
  // Lets requests start also while the target is cold.
  void SetUnlimited() { share_.reset(); }

  TimePoint ColdUntil() const;
  bool IsCold(TimePoint now) const { return now < ColdUntil(); }
  bool MayStart(TimePoint now) const;
  void RecordStart(TimePoint now) { last_start_ = now; }
  // The earliest time at which a request may start.
  TimePoint NextStart(TimePoint now) const;
  // Requests per second that this host may start while the target is cold;
  // nullopt if there is no limit.
  std::optional<int> share() const { return share_; }

 private:
  TimePoint reported_until_{};
  TimePoint presumed_until_{};
  std::optional<TimePoint> last_start_;
  std::optional<int> share_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_COLD_PACE_H_
