// Adaptive limit on the requests in flight at one target.

#ifndef SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_
#define SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>

namespace turmericwinch {

// Where the team of a request stands when the request is sent. kOnlyTeam: no
// other team is active. kWithinShare, kOverShare: several teams are active, and
// this team has less than its share in flight, or all of it.
enum class ShareStatus { kOnlyTeam, kWithinShare, kOverShare };

// Estimates how many requests the target runs at once before requests queue in
// it. The time to the first token is compared with that of an idle target; the
// limit decreases when a first token comes late. Each host measures only its
// own requests, but the load of other hosts delays these too, so the sum of the
// hosts' limits converges to the concurrency of the target. Reads no clock.
class ConcurrencyLimit {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // The limit starts at `min`, grows by 1 for each timely first token until the
  // first late one, and stays within the bounds.
  void SetBounds(double min, double max);
  // Adjusts the limit to a first token that came after `elapsed`. The target
  // had to process `uncached_tokens` of the prompt. `in_flight` is the number
  // of requests that this host had at the target when it sent the request, the
  // request included.
  void RecordFirstToken(ShareStatus share_status,
                        std::chrono::duration<double> elapsed,
                        double uncached_tokens,
                        std::int64_t in_flight,
                        TimePoint now);

  // The upper bound before the first sample, so that services whose responses
  // have no first token are not limited.
  double limit() const { return has_sample_ ? limit_ : max_; }
  // Time to the first token of a short prompt at an idle target; 0 if unknown.
  double idle_seconds() const { return idle_seconds_; }

 private:
  void Decrease(ShareStatus share_status, double lateness, TimePoint now);
  void UpdateIdleTime(double measured, double in_flight, double& idle) const;

  double min_ = 1;
  double max_ = 0;
  double limit_ = 0;
  bool has_sample_ = false;
  bool had_late_sample_ = false;
  TimePoint last_decrease_;
  double idle_seconds_ = 0;
  // Additional time for each token of a long prompt.
  double idle_seconds_per_token_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_CONCURRENCY_LIMIT_H_
