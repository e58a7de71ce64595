// Verdicts of the quarantine, as hosts exchange and store them.

#ifndef SRC_LIBS_DELIVERY_QUARANTINE_VERDICTS_H_
#define SRC_LIBS_DELIVERY_QUARANTINE_VERDICTS_H_

#include <vector>

#include "libs/delivery/prompt_part_quarantine.h"
#include "libs/delivery/quarantine.h"

namespace turmericwinch {

// A hold of 0 withdraws the verdict.
struct QuarantineVerdicts {
  std::vector<QuarantinedPart> parts;
  std::vector<QuarantineVerdict> requests;

  bool empty() const { return parts.empty() && requests.empty(); }
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_QUARANTINE_VERDICTS_H_
