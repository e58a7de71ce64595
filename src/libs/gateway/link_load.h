// Tells whether the requests of callers fill this host's network link. Free of
// I/O.

#ifndef SRC_LIBS_GATEWAY_LINK_LOAD_H_
#define SRC_LIBS_GATEWAY_LINK_LOAD_H_

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>

#include "libs/budget/demand_rate.h"

namespace turmericwinch {

// Share of the link's bandwidth, in one direction, from which the link counts
// as saturated. What is not counted here (acknowledgements, retransmissions,
// other hosts, the store) uses the rest.
inline constexpr double kLinkSaturatedShare = 0.7;
// Share below which the link no longer counts as saturated.
inline constexpr double kLinkRelievedShare = 0.35;
// Minimum time for which a link counts as saturated: two probes of the load
// balancer fail, and callers move to other hosts. Doubles up to the maximum
// each time that the link is saturated again within kSaturationRelapseTime.
inline constexpr std::chrono::seconds kMinSaturatedTime{5};
inline constexpr std::chrono::seconds kMaxSaturatedTime{40};
inline constexpr std::chrono::seconds kSaturationRelapseTime{10};
// Window over which the bytes are averaged.
inline constexpr std::chrono::seconds kLinkLoadWindow{1};
// Headers of one message and of its packets, in bytes.
inline constexpr std::size_t kMessageOverheadBytes = 500;

// Callers are spread over the hosts unevenly, and hosts have links of different
// bandwidth. On a full link every request is late, so the host sends callers
// away while other hosts have room. Thread-safe.
class LinkLoad {
 public:
  // `bytes_per_second` is the bandwidth in each direction. The link never
  // counts as saturated if it is 0.
  explicit LinkLoad(double bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  // Records one message with a body of `bytes`.
  void RecordReceived(std::size_t bytes, MonotonicTime now);
  void RecordSent(std::size_t bytes, MonotonicTime now);
  // Recomputes the state. Returns the new state if it changed.
  std::optional<bool> Update(MonotonicTime now);
  // The state as of the last Update().
  bool is_saturated() const;
  // Bytes per second in the busier direction as of the last Update().
  double rate() const;

 private:
  const double bytes_per_second_;
  mutable std::mutex mutex_;
  DemandRate received_{kLinkLoadWindow};
  DemandRate sent_{kLinkLoadWindow};
  // Start of the saturation, if the link is saturated.
  std::optional<MonotonicTime> saturated_since_;
  // Minimum duration of the saturation, and when the last one ended.
  std::chrono::seconds hold_ = kMinSaturatedTime;
  std::optional<MonotonicTime> relieved_at_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_LINK_LOAD_H_
