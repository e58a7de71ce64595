#include "libs/delivery/idempotency_keys.h"

#include <utility>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

KeyVerdict IdempotencyKeys::BeginRun(const std::string& name,
                                     const std::string& body_digest,
                                     Time now) {
  Expire(now);
  auto it = entries_.find(name);
  if (it != entries_.end()) {
    return it->second.body_digest == body_digest ? KeyVerdict::kJoin
                                                 : KeyVerdict::kReused;
  }
  if (entries_.size() - ended_.size() >= kMostKeyedRuns)
    return KeyVerdict::kRunAlone;
  entries_[name].body_digest = body_digest;
  return KeyVerdict::kRun;
}

void IdempotencyKeys::EndRun(const std::string& name,
                             bool keep,
                             std::size_t bytes,
                             Time now) {
  auto it = entries_.find(name);
  if (it == entries_.end() || it->second.ended)
    return;
  if (!keep) {
    Forget(name);
    return;
  }
  it->second.ended = true;
  it->second.bytes = bytes;
  it->second.end = now;
  kept_bytes_ += bytes;
  ended_.push_back(name);
  Expire(now);
}

std::vector<std::string> IdempotencyKeys::TakeForgotten() {
  return std::exchange(forgotten_, {});
}

void IdempotencyKeys::Expire(Time now) {
  while (!ended_.empty()) {
    const std::string name = ended_.front();
    const bool over = now - entries_[name].end >= kAnswerHold;
    if (!over && kept_bytes_ <= kMostKeptAnswerBytes &&
        ended_.size() <= kMostKeptAnswers)
      return;
    kept_bytes_ -= entries_[name].bytes;
    ended_.pop_front();
    Forget(name);
  }
}

void IdempotencyKeys::Forget(const std::string& name) {
  entries_.erase(name);
  forgotten_.push_back(name);
}

}  // namespace turmericwinch
