#include "libs/base/lenient_json.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

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

// Reads a key, and leaves `pos` at the value.
std::optional<std::string> ReadKey(std::string_view text, std::size_t* pos) {
  if (*pos >= text.size() || text[*pos] != '"')
    return std::nullopt;
  const std::optional<std::size_t> after = SkipString(text, *pos);
  if (!after)
    return std::nullopt;
  const std::optional<json::value> key =
      ParseJson(text.substr(*pos, *after - *pos));
  const std::size_t colon = SkipWhitespace(text, *after);
  if (colon >= text.size() || text[colon] != ':' || !key)
    return std::nullopt;
  *pos = SkipWhitespace(text, colon + 1);
  return std::string(key->as_string());
}

class LenientParser {
 public:
  explicit LenientParser(const std::set<std::string_view>& whole_members)
      : whole_members_(whole_members) {}

  json::value Value(std::string_view text, int depth) const {
    if (std::optional<json::value> value = ParseJson(text))
      return *std::move(value);
    if (depth == 0 || text.empty() || (text[0] != '{' && text[0] != '['))
      return nullptr;
    return Container(text, depth);
  }

 private:
  // Not called for an empty container, as that can be parsed.
  json::value Container(std::string_view text, int depth) const {
    const bool is_object = text[0] == '{';
    const char end = is_object ? '}' : ']';
    json::object object;
    json::array array;
    for (std::size_t pos = 1;;) {
      pos = SkipWhitespace(text, pos);
      std::optional<std::string> key;
      if (is_object) {
        key = ReadKey(text, &pos);
        if (!key)
          return nullptr;
      }
      const std::optional<std::size_t> after = SkipValue(text, pos);
      if (!after)
        return nullptr;
      const bool is_whole = key && whole_members_.contains(*key);
      json::value value =
          Value(text.substr(pos, *after - pos), is_whole ? 0 : depth - 1);
      if (is_object)
        object[*key] = std::move(value);
      else
        array.push_back(std::move(value));
      pos = SkipWhitespace(text, *after);
      if (pos < text.size() && text[pos] == ',') {
        ++pos;
        continue;
      }
      if (pos >= text.size() || text[pos] != end ||
          SkipWhitespace(text, pos + 1) < text.size())
        return nullptr;
      return is_object ? json::value(std::move(object))
                       : json::value(std::move(array));
    }
  }

  const std::set<std::string_view>& whole_members_;
};

}  // namespace

json::value ParseJsonLeniently(
    std::string_view text,
    const std::set<std::string_view>& whole_members) {
  return LenientParser(whole_members)
      .Value(text.substr(SkipWhitespace(text, 0)), kMaxSplitDepth);
}

}  // namespace turmericwinch
