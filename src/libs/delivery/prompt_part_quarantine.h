// Detects prompt parts that crash the targets that answer requests with them.
// Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_PROMPT_PART_QUARANTINE_H_
#define SRC_LIBS_DELIVERY_PROMPT_PART_QUARANTINE_H_

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "libs/delivery/answered_parts.h"
#include "libs/delivery/crash_causes.h"
#include "libs/delivery/target_crash.h"

namespace turmericwinch {

// A prompt part whose requests are refused for `hold` from now on.
struct QuarantinedPart {
  PromptPartId part = 0;
  std::chrono::milliseconds hold{0};
};

// Time that has passed since a whole answer to a request with the part.
struct AnsweredPart {
  PromptPartId part = 0;
  std::chrono::milliseconds age{0};
};

// Every host reports crashes with the requests that it lost, and learns those
// of the others, so that each reaches the same verdicts. A whole answer shows
// that the parts of its request did not cause the crashes before it; it says
// nothing about later ones. A quarantine ends after a time, and lasts twice as
// long if further crashes renew it, so that a wrong verdict does not last.
class PromptPartQuarantine {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records a crash, or further requests that were lost in it.
  void OnCrash(const TargetCrash& crash, Time now);
  // Quarantines the parts that explain the crashes, and returns them. Crashes
  // count after kCrashReportTime, when all hosts have reported their requests:
  // a sound part may explain more crashes than the deadly one before.
  std::vector<PromptPartId> QuarantineCauses(Time now);
  // Whether some crash does not count yet.
  bool HasNewCrashes(Time now) const;
  // Records that a target answered a request with these parts, or that another
  // host said so. Ends the quarantines that the crashes since then do not
  // justify, and returns their parts.
  std::vector<PromptPartId> OnAnswered(const std::vector<AnsweredPart>& parts,
                                       Time now);
  // Records that a target began to answer a request with these parts.
  void OnAnswerBegun(const std::vector<PromptPartId>& parts, Time now);
  // Adds a verdict of another host. Returns whether the part was not
  // quarantined until then. Ignored if this host can disprove it.
  bool AddVerdict(const QuarantinedPart& verdict, Time now);
  // A part of `parts` for which a request must be refused.
  std::optional<PromptPartId> FindQuarantined(
      const std::vector<PromptPartId>& parts,
      Time now) const;
  // If this host has seen a whole answer to a request with the part, and knows
  // of crashes with it but not of enough to blame it: the time since that
  // answer.
  std::optional<std::chrono::milliseconds> Disproof(PromptPartId part,
                                                    Time now) const;
  // Whether an answer to a request with the part has begun.
  bool HasWorked(PromptPartId part, Time now) const;
  std::vector<QuarantinedPart> Verdicts(Time now) const;
  // Number of verdicts since the last Expire(), ended quarantines included.
  std::size_t verdicts() const { return verdicts_.size(); }
  // Removes verdicts and crashes that are too old to matter.
  void Expire(Time now);

 private:
  // A verdict is kept after `end`, for the length of the next quarantine.
  struct Verdict {
    Time end;
    std::chrono::milliseconds hold{0};
  };

  void Quarantine(PromptPartId part, Time now);
  PartAnswers AnswersAt(Time now) const;
  // The crashes that were first reported by `end`.
  std::span<const RecordedCrash> CrashesUntil(Time end) const;

  // Parts of requests that were answered whole, and of those whose answer
  // began.
  AnsweredParts answered_;
  AnsweredParts begun_;
  // Oldest first.
  std::vector<RecordedCrash> crashes_;
  std::map<PromptPartId, Verdict> verdicts_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_PROMPT_PART_QUARANTINE_H_
