// Why a function that answers std::optional answered nothing.

#ifndef SRC_LIBS_BASE_REASON_H_
#define SRC_LIBS_BASE_REASON_H_

#include <optional>
#include <string>

#include "libs/base/result_code.h"

namespace turmericwinch {

// A result code with one sentence for a person. Functions that can fail take a
// `Reason*` as their last parameter and write it before they return nothing.
struct Reason {
  ResultCode code = ResultCode::kOk;
  std::string text;
};

// Fills `reason`, which may be null, and gives the empty optional to return.
std::nullopt_t Fail(Reason* reason, ResultCode code, std::string text);

// Lines for a terminal: the sentence, then number and name of the code.
std::string ErrorText(const Reason& reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_REASON_H_
