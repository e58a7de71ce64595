// The object in the store that holds the verdicts of the quarantine. Free of
// clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_STORED_QUARANTINE_H_
#define SRC_LIBS_GATEWAY_STORED_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/delivery/quarantine_verdicts.h"

namespace turmericwinch {

// Times are Unix milliseconds, as hosts have no other clock in common.
class StoredQuarantine {
 public:
  // Returns nullopt and sets `reason` to kPlatformRejected if `text` is not
  // valid.
  static std::optional<StoredQuarantine> Parse(const std::string& text,
                                               Reason* reason);
  std::string ToText() const;

  // Adds the verdicts, and removes those whose hold is 0. Returns whether that
  // changed anything.
  bool Apply(const QuarantineVerdicts& changes, std::int64_t now_ms);
  // The verdicts that have not ended.
  QuarantineVerdicts Verdicts(std::int64_t now_ms) const;

 private:
  // Ends of the quarantines, of prompt parts and, by digest, of requests.
  std::map<PromptPartId, std::int64_t> parts_until_ms_;
  std::map<std::string, std::int64_t> requests_until_ms_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_STORED_QUARANTINE_H_
