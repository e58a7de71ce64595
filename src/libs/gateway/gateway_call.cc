#include "libs/gateway/gateway_call.h"

#include <array>
#include <charconv>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kMaxHexDigits = 16;

}  // namespace

std::string PromptPartsText(const std::vector<PromptPart>& parts) {
  std::string text;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    if (n > 0)
      text += ',';
    if (n == kMaxLoggedPromptParts)
      return text + "...";
    std::array<char, kMaxHexDigits> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(),
                                         parts[n].id, kHexBase);
    text.append(buf.data(), end);
  }
  return text;
}

}  // namespace turmericwinch
