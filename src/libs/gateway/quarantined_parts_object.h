// The object in the store that holds the quarantined prompt parts. Free of
// clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_QUARANTINED_PARTS_OBJECT_H_
#define SRC_LIBS_GATEWAY_QUARANTINED_PARTS_OBJECT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/delivery/prompt_part_quarantine.h"

namespace turmericwinch {

// Times are Unix milliseconds, as hosts have no other clock in common.
class QuarantinedPartsObject {
 public:
  // Returns nullopt and sets `reason` to kPlatformRejected if `text` is not
  // valid.
  static std::optional<QuarantinedPartsObject> Parse(const std::string& text,
                                                     Reason* reason);
  std::string ToText() const;

  // Adds the verdicts, and removes the parts whose hold is 0. Returns whether
  // that changed anything.
  bool Apply(const std::vector<QuarantinedPart>& changes, std::int64_t now_ms);
  // The parts whose quarantine has not ended.
  std::vector<QuarantinedPart> Parts(std::int64_t now_ms) const;

 private:
  // Ends of the quarantines.
  std::map<PromptPartId, std::int64_t> until_ms_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_QUARANTINED_PARTS_OBJECT_H_
