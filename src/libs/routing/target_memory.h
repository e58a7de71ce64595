// Memory of a target that requests hold, in tokens.

#ifndef SRC_LIBS_ROUTING_TARGET_MEMORY_H_
#define SRC_LIBS_ROUTING_TARGET_MEMORY_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace turmericwinch {

// Answers long prompts that together exceed the memory of a model engine, which
// then crashes. Counts the tokens of this host's own requests, and estimates
// those of other hosts' from the target's last report, which ages. Without a
// capacity, there is always room. Reads no clock.
class TargetMemory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Tokens that a request is expected to hold while it runs.
  static double ExpectedTokens(std::int64_t prompt_tokens,
                               std::int64_t max_output_tokens);

  // Sets the tokens that the target can hold; 0 if that is unknown.
  void SetCapacity(std::int64_t tokens) {
    capacity_ = static_cast<double>(tokens);
  }
  // `tokens`, or the capacity if it is known and smaller.
  double AtMostCapacity(double tokens) const;
  // Records that a request that is expected to hold `tokens` was sent, or
  // ended.
  void BeginRequest(double tokens);
  void EndRequest(double tokens);
  // Records that the target reported `requests` running and waiting from all
  // hosts, which hold `mean_tokens` each.
  void RecordReport(std::int64_t requests, double mean_tokens, TimePoint now);

  // Whether a request of `tokens` fits. One that exceeds the memory by itself
  // fits a target without requests of this host: the target rejects it.
  bool HasRoom(double tokens, TimePoint now) const;
  // Factor by which the cost of the target rises as a request of `tokens` takes
  // up its free memory; 1 without a capacity. The estimate of other hosts'
  // tokens may be too low, so targets with much room are preferred.
  double CostFactor(double tokens, TimePoint now) const;
  // Tokens that requests hold: of this host, and in total with the estimate.
  double own_tokens() const { return own_tokens_; }
  double UsedTokens(TimePoint now) const {
    return own_tokens_ + OtherTokens(now);
  }
  // The next time at which the estimate may have fallen enough for a request to
  // fit without any other event; nullopt if no estimate is in force.
  std::optional<TimePoint> NextCheck(TimePoint now) const;

 private:
  double capacity_ = 0;
  std::int64_t own_requests_ = 0;
  double own_tokens_ = 0;
  // Estimated tokens of other hosts' requests at the time of the last report.
  double other_tokens_ = 0;
  TimePoint report_time_;

  double OtherTokens(TimePoint now) const;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_MEMORY_H_
