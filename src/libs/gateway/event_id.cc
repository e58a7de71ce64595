#include "libs/gateway/event_id.h"

#include <algorithm>

namespace turmericwinch {

std::optional<EventId> EventId::Parse(std::string_view text) {
  const bool is_number = std::all_of(
      text.begin(), text.end(), [](char it) { return it >= '0' && it <= '9'; });
  if (!is_number || text.empty() || text.size() > kMaxEventIdDigits)
    return std::nullopt;
  return EventId(text);
}

std::string_view EventId::Significant() const {
  const std::string_view digits = digits_;
  return digits.substr(std::min(digits.find_first_not_of('0'), digits.size()));
}

std::strong_ordering operator<=>(const EventId& a, const EventId& b) {
  const std::string_view left = a.Significant();
  const std::string_view right = b.Significant();
  if (left.size() != right.size())
    return left.size() <=> right.size();
  return left <=> right;
}

std::string ToText(const std::optional<EventId>& id) {
  return id ? id->text() : "none";
}

}  // namespace turmericwinch
