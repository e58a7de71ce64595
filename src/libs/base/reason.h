// Error of a function that returned an empty std::optional.

#ifndef SRC_LIBS_BASE_REASON_H_
#define SRC_LIBS_BASE_REASON_H_

#include <optional>
#include <string>

#include "libs/base/result_code.h"

namespace turmericwinch {

// A result code and a message for people. Functions that can fail take a
// `Reason*` as their last parameter and fill it before they return nullopt.
struct Reason {
  ResultCode code = ResultCode::kOk;
  std::string text;
};

// Fills `reason`, which may be null, and returns nullopt for the caller to
// return.
std::nullopt_t Fail(Reason* reason, ResultCode code, std::string text);

// Text for a terminal: the message, then a line with number and name of the
// code.
std::string ErrorText(const Reason& reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_REASON_H_
