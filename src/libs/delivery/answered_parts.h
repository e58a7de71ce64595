// The prompt parts of requests that targets have answered.

#ifndef SRC_LIBS_DELIVERY_ANSWERED_PARTS_H_
#define SRC_LIBS_DELIVERY_ANSWERED_PARTS_H_

#include <chrono>
#include <list>
#include <optional>
#include <unordered_map>

#include "libs/delivery/target_crash.h"

namespace turmericwinch {

// Forgets the parts that were not answered for longest. Reads no clock.
class AnsweredParts {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records an answer at `time`, which may be in the past.
  void Add(PromptPartId part, Time time);
  // Time of the newest answer to a request with the part; nullopt if there was
  // none within kAnsweredPartHold.
  std::optional<Time> LastAnswer(PromptPartId part, Time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    PromptPartId part = 0;
    Time time;
  };

  // The part that was answered last is first.
  std::list<Entry> entries_;
  std::unordered_map<PromptPartId, std::list<Entry>::iterator> by_part_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_ANSWERED_PARTS_H_
