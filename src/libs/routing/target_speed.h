// Change of a target's speed since it was measured.

#ifndef SRC_LIBS_ROUTING_TARGET_SPEED_H_
#define SRC_LIBS_ROUTING_TARGET_SPEED_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace turmericwinch {

// Answers targets whose speed changes many times a second because they share
// their machines. Measured times follow only over several responses, and
// already contain the speed at which they were taken. So the reported speed
// counts relative to its value at the measurements. A report is old when it
// arrives and all hosts read the same one, so reports are averaged, their
// effect decays with age, and it is bounded. Reads no clock.
class TargetSpeed {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Records that work takes `percent` of its usual time.
  void RecordReport(std::int64_t percent, TimePoint now);
  // Records that a measured time was taken over into its moving average.
  void RecordMeasurement(TimePoint now);

  // Factor by which work now takes longer than measured; 1 without a recent
  // report.
  double Factor(TimePoint now) const;

 private:
  // Averages of the reported time of work, as a multiple of the usual time: of
  // the last reports, and of those at the measurements.
  double average_ = 1;
  double measured_ = 1;
  std::optional<TimePoint> report_time_;

  // The average of the reports, approaching the value at the measurements with
  // age.
  double AgedAverage(TimePoint now) const;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_SPEED_H_
