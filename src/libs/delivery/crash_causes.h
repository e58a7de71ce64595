// Finds the prompt parts that explain the crashes of targets. Free of clocks
// and I/O.

#ifndef SRC_LIBS_DELIVERY_CRASH_CAUSES_H_
#define SRC_LIBS_DELIVERY_CRASH_CAUSES_H_

#include <functional>
#include <set>
#include <vector>

#include "libs/delivery/target_crash.h"

namespace turmericwinch {

// Returns the parts that are to blame for `crashes`. A part explains a crash
// if a request with it was lost in the crash. The part that explains most
// crashes is blamed first, and its crashes count for no other part: requests
// with sound parts are lost in the same crashes. Of parts that explain equally
// many, the one further back in the prompt is blamed, as fewer requests have
// it. A part is blamed if it explains kCrashesToBlame crashes and as many
// different requests were lost; the parts in `known` are blamed already.
// `is_sound` returns whether a request with the part was answered.
std::vector<PromptPartId> FindCrashCauses(
    const std::vector<TargetCrash>& crashes,
    const std::set<PromptPartId>& known,
    const std::function<bool(PromptPartId)>& is_sound);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CRASH_CAUSES_H_
