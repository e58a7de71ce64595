// The requests that were lost when a target crashed.

#ifndef SRC_LIBS_DELIVERY_TARGET_CRASH_H_
#define SRC_LIBS_DELIVERY_TARGET_CRASH_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericwinch {

// Identifies a part of a prompt; equal parts have equal ids.
using PromptPartId = std::uint64_t;

// A request whose response was lost. `digest` identifies its team and content.
// `shared_parts` are the parts of its prompt, in order, that other requests may
// have too. For `working_parts`, a subset of them, the reporting host has seen
// at least the beginning of an answer. `age` is the time from when the request
// was sent to the target until the report.
struct LostRequest {
  std::string digest;
  std::vector<PromptPartId> shared_parts;
  std::vector<PromptPartId> working_parts = {};
  std::chrono::milliseconds age{0};
};

// The crash of one incarnation of a target. Several hosts may each report some
// of the requests.
struct TargetCrash {
  std::string target;
  std::vector<LostRequest> requests;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_TARGET_CRASH_H_
