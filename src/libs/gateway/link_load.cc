#include "libs/gateway/link_load.h"

#include <algorithm>
#include <cstdint>

namespace turmericwinch {

namespace {

std::int64_t MessageBytes(std::size_t body_bytes) {
  return static_cast<std::int64_t>(body_bytes + kMessageOverheadBytes);
}

}  // namespace

void LinkLoad::RecordReceived(std::size_t bytes, MonotonicTime now) {
  std::lock_guard lock(mutex_);
  received_.Decay(now);
  received_.AddTokens(MessageBytes(bytes), now);
}

void LinkLoad::RecordSent(std::size_t bytes, MonotonicTime now) {
  std::lock_guard lock(mutex_);
  sent_.Decay(now);
  sent_.AddTokens(MessageBytes(bytes), now);
}

std::optional<bool> LinkLoad::Update(MonotonicTime now) {
  std::lock_guard lock(mutex_);
  received_.Decay(now);
  sent_.Decay(now);
  if (bytes_per_second_ <= 0)
    return std::nullopt;
  const double share =
      std::max(received_.Value(), sent_.Value()) / bytes_per_second_;
  if (!saturated_since_ && share >= kLinkSaturatedShare) {
    const bool is_relapse =
        relieved_at_ && now - *relieved_at_ < kSaturationRelapseTime;
    hold_ =
        is_relapse ? std::min(hold_ * 2, kMaxSaturatedTime) : kMinSaturatedTime;
    saturated_since_ = now;
    return true;
  }
  if (saturated_since_ && share < kLinkRelievedShare &&
      now - *saturated_since_ >= hold_) {
    saturated_since_.reset();
    relieved_at_ = now;
    return false;
  }
  return std::nullopt;
}

bool LinkLoad::is_saturated() const {
  std::lock_guard lock(mutex_);
  return saturated_since_.has_value();
}

double LinkLoad::rate() const {
  std::lock_guard lock(mutex_);
  return std::max(received_.Value(), sent_.Value());
}

}  // namespace turmericwinch
