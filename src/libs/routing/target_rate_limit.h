// The request rate that a target takes from all hosts together.

#ifndef SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_
#define SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_

#include <chrono>
#include <optional>

namespace turmericwinch {

// Holds the limit that a target names in its responses, for as long as it does.
// Reads no clock.
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
  std::optional<double> limit() const { return limit_; }

 private:
  std::optional<double> limit_;
  TimePoint named_at_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_RATE_LIMIT_H_
