// Ids of the events of streams.

#ifndef SRC_LIBS_GATEWAY_EVENT_ID_H_
#define SRC_LIBS_GATEWAY_EVENT_ID_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Maximum length of an id, so that it fits into a header.
inline constexpr std::size_t kMaxEventIdDigits = 128;

// A decimal number of any size. Keeps its digits, as targets may compare the id
// that they get back with their own.
class EventId {
 public:
  // Returns nullopt if `text` is not 1 to kMaxEventIdDigits decimal digits.
  static std::optional<EventId> Parse(std::string_view text);

  // The digits as they were parsed.
  const std::string& text() const { return digits_; }

  // Compare the numbers, so leading zeros don't count.
  friend std::strong_ordering operator<=>(const EventId& a, const EventId& b);
  friend bool operator==(const EventId& a, const EventId& b) {
    return std::is_eq(a <=> b);
  }

 private:
  explicit EventId(std::string_view digits) : digits_(digits) {}
  // The digits without leading zeros.
  std::string_view Significant() const;

  std::string digits_;
};

// The digits of the id, or "none", for logs.
std::string ToText(const std::optional<EventId>& id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVENT_ID_H_
