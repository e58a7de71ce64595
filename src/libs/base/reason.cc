#include "libs/base/reason.h"

#include <utility>

namespace turmericwinch {

std::nullopt_t Fail(Reason* reason, ResultCode code, std::string text) {
  if (reason)
    *reason = Reason{code, std::move(text)};
  return std::nullopt;
}

std::string ErrorText(const Reason& reason) {
  std::string text = reason.text;
  if (!text.ends_with('\n'))
    text += '\n';
  text += "error " + std::to_string(static_cast<int>(reason.code)) + " ";
  text += NameOf(reason.code);
  text += '\n';
  return text;
}

}  // namespace turmericwinch
