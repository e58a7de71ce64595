#include "libs/gateway/gateway_call.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kMaxHexDigits = 16;
// Parts at the end of a prompt that belong to one request or session.
constexpr std::size_t kUnsharedPromptParts = 1;

std::vector<PromptPartId> IdsOf(std::span<const PromptPart> parts) {
  std::vector<PromptPartId> ids;
  for (const PromptPart& it : parts)
    ids.push_back(it.id);
  return ids;
}

}  // namespace

std::string PartIdsText(const std::vector<PromptPartId>& parts) {
  std::string text;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    if (n > 0)
      text += ',';
    if (n == kMaxLoggedPromptParts)
      return text + "...";
    std::array<char, kMaxHexDigits> buf{};
    const auto [end, ec] =
        std::to_chars(buf.data(), buf.data() + buf.size(), parts[n], kHexBase);
    text.append(buf.data(), end);
  }
  return text;
}

std::span<const PromptPart> SharedParts(const GatewayCall& call) {
  const std::span<const PromptPart> parts = call.prompt_parts;
  return parts.first(parts.size() -
                     std::min(parts.size(), kUnsharedPromptParts));
}

std::vector<PromptPartId> SharedPartIds(const GatewayCall& call) {
  return IdsOf(SharedParts(call));
}

std::vector<PromptPartId> PartIds(const GatewayCall& call) {
  return IdsOf(call.prompt_parts);
}

}  // namespace turmericwinch
