#include "libs/routing/cold_pace.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::nanoseconds;

// Time in which a host starts its share of requests.
constexpr nanoseconds kColdWindow =
    std::chrono::seconds(1) + kColdArrivalJitter;

}  // namespace

void ColdPace::RecordReport(std::chrono::milliseconds time, TimePoint now) {
  reported_until_ = now + std::min(time, kMaxColdTime);
}

void ColdPace::PresumeCold(std::chrono::milliseconds time, TimePoint now) {
  presumed_until_ =
      std::max(presumed_until_, now + std::min(time, kMaxColdTime));
}

ColdPace::TimePoint ColdPace::ColdUntil() const {
  return std::max(reported_until_, presumed_until_);
}

ColdPace::TimePoint ColdPace::NextStart(TimePoint now) const {
  if (!share_ || !IsCold(now))
    return now;
  if (*share_ <= 0)
    return ColdUntil();
  if (!last_start_)
    return now;
  // Rounded up, so that no second holds more than the share.
  const nanoseconds interval =
      (kColdWindow + nanoseconds(*share_ - 1)) / *share_;
  return std::min(std::max(*last_start_ + interval, now), ColdUntil());
}

bool ColdPace::MayStart(TimePoint now) const {
  return NextStart(now) <= now;
}

}  // namespace turmericwinch
