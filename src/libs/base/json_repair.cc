#include "libs/base/json_repair.h"

#include <algorithm>
#include <optional>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kNull = "null";
constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kEndOfScalar = ",]} \t\r\n";
// Containers that are taken apart inside each other.
constexpr int kMaxSplitDepth = 8;

std::size_t SkipWhitespace(std::string_view text, std::size_t pos) {
  return std::min(text.find_first_not_of(kWhitespace, pos), text.size());
}

// Returns the position after the string at `pos`, or nullopt if it has no end.
std::optional<std::size_t> SkipString(std::string_view text, std::size_t pos) {
  for (std::size_t n = pos + 1; n < text.size(); ++n) {
    if (text[n] == '\\')
      ++n;
    else if (text[n] == '"')
      return n + 1;
  }
  return std::nullopt;
}

std::optional<std::size_t> SkipContainer(std::string_view text,
                                         std::size_t pos) {
  std::size_t depth = 0;
  while (pos < text.size()) {
    const char c = text[pos];
    if (c == '"') {
      const std::optional<std::size_t> end = SkipString(text, pos);
      if (!end)
        return std::nullopt;
      pos = *end;
      continue;
    }
    ++pos;
    if (c == '{' || c == '[')
      ++depth;
    else if ((c == '}' || c == ']') && --depth == 0)
      return pos;
  }
  return std::nullopt;
}

// Returns the position after the value at `pos`, whatever it contains.
std::optional<std::size_t> SkipValue(std::string_view text, std::size_t pos) {
  if (pos >= text.size())
    return std::nullopt;
  if (text[pos] == '"')
    return SkipString(text, pos);
  if (text[pos] == '{' || text[pos] == '[')
    return SkipContainer(text, pos);
  const std::size_t end =
      std::min(text.find_first_of(kEndOfScalar, pos), text.size());
  return end > pos ? std::optional(end) : std::nullopt;
}

class Repair {
 public:
  explicit Repair(const std::set<std::string_view>& whole_members)
      : whole_members_(whole_members) {}

  std::string Value(std::string_view text, int depth) const {
    if (ParseJson(text))
      return std::string(text);
    if (depth == 0 || text.empty() || (text[0] != '{' && text[0] != '['))
      return std::string(kNull);
    return Container(text, depth).value_or(std::string(kNull));
  }

 private:
  std::optional<std::string> Container(std::string_view text, int depth) const {
    const bool is_object = text[0] == '{';
    const char end = is_object ? '}' : ']';
    std::string result(1, text[0]);
    std::size_t pos = SkipWhitespace(text, 1);
    while (pos < text.size() && text[pos] != end) {
      int value_depth = depth - 1;
      if (is_object) {
        const std::optional<std::string_view> key = ReadKey(text, &pos);
        if (!key || !ParseJson(*key))
          return std::nullopt;
        result += *key;
        result += ':';
        if (whole_members_.contains(key->substr(1, key->size() - 2)))
          value_depth = 0;
      }
      const std::optional<std::size_t> after = SkipValue(text, pos);
      if (!after)
        return std::nullopt;
      result += Value(text.substr(pos, *after - pos), value_depth);
      pos = SkipWhitespace(text, *after);
      if (pos < text.size() && text[pos] == ',') {
        result += ',';
        pos = SkipWhitespace(text, pos + 1);
      }
    }
    if (pos >= text.size())
      return std::nullopt;
    result += end;
    return result;
  }

  // Reads a key with its quotes, and leaves `pos` at the value.
  static std::optional<std::string_view> ReadKey(std::string_view text,
                                                 std::size_t* pos) {
    if (text[*pos] != '"')
      return std::nullopt;
    const std::optional<std::size_t> after = SkipString(text, *pos);
    if (!after)
      return std::nullopt;
    const std::string_view key = text.substr(*pos, *after - *pos);
    const std::size_t colon = SkipWhitespace(text, *after);
    if (colon >= text.size() || text[colon] != ':')
      return std::nullopt;
    *pos = SkipWhitespace(text, colon + 1);
    return key;
  }

  const std::set<std::string_view>& whole_members_;
};

}  // namespace

std::string ReplaceUnreadable(std::string_view text,
                              const std::set<std::string_view>& whole_members) {
  const std::string repaired =
      Repair(whole_members)
          .Value(text.substr(SkipWhitespace(text, 0)), kMaxSplitDepth);
  return ParseJson(repaired) ? repaired : std::string(kNull);
}

}  // namespace turmericwinch
