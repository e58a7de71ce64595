#include "libs/base/reason.h"

#include <utility>

namespace turmericwinch {

std::nullopt_t Fail(Reason* reason, ResultCode code, std::string text) {
  if (reason)
    *reason = Reason{code, std::move(text)};
  return std::nullopt;
}

}  // namespace turmericwinch
