// Finds the prompt parts that explain the crashes of targets. Free of clocks
// and I/O.

#ifndef SRC_LIBS_DELIVERY_CRASH_CAUSES_H_
#define SRC_LIBS_DELIVERY_CRASH_CAUSES_H_

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "libs/delivery/target_crash.h"

namespace turmericwinch {

// A request that was lost in a crash, and when it was sent to the target.
struct RecordedLoss {
  LostRequest request;
  std::chrono::steady_clock::time_point sent;
};

// A crash, and when it was first reported.
struct RecordedCrash {
  std::string target;
  std::chrono::steady_clock::time_point time;
  std::vector<RecordedLoss> losses;
};

// What a host has seen of the answers to requests with a part.
struct PartAnswers {
  // Time of the last whole answer; nullopt if there was none.
  std::function<std::optional<std::chrono::steady_clock::time_point>(
      PromptPartId)>
      last_whole;
  // Whether an answer began.
  std::function<bool(PromptPartId)> has_begun;
};

// Returns the parts that are to blame for `crashes`, which are in the order of
// their times. A part explains a crash if a request with it was lost in the
// crash, and no request with it has been answered since. It is blamed if it
// explains kCrashesToBlame crashes and as many different requests were lost.
//
// When many targets fail at once for another reason, each part that is in use
// explains these crashes. For a part that has been answered, or whose answers
// have begun, a crash therefore counts only if one of the requests was sent
// after the one that counted before. Answers that began prove no more than
// that: a part may crash a target at any event.
//
// Parts that were never answered are blamed first, and then those that explain
// most crashes; their crashes count for no other part, as requests with sound
// parts are lost in them too. Of parts that explain equally many, the one
// further back in the prompt is blamed, as fewer requests have it. The parts in
// `known` are blamed already.
std::vector<PromptPartId> FindCrashCauses(
    std::span<const RecordedCrash> crashes,
    const std::set<PromptPartId>& known,
    const PartAnswers& answers);

// Whether a request with `part` was lost in one of `crashes`.
bool WasLost(PromptPartId part, std::span<const RecordedCrash> crashes);

// Whether `part` alone would be blamed for `crashes`.
bool IsBlamed(PromptPartId part,
              std::span<const RecordedCrash> crashes,
              const PartAnswers& answers);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CRASH_CAUSES_H_
