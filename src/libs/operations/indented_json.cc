#include "libs/operations/indented_json.h"

#include <boost/json.hpp>

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxLineLength = 100;
constexpr std::size_t kIndent = 2;

void AppendValue(std::string& text,
                 const json::value& value,
                 std::size_t depth) {
  const std::string line = json::serialize(value);
  if (!value.is_structured() ||
      line.size() + depth * kIndent <= kMaxLineLength) {
    text += line;
    return;
  }
  const std::string start = "\n" + std::string((depth + 1) * kIndent, ' ');
  const char* separator = "";
  if (const json::object* object = value.if_object()) {
    text += '{';
    for (const json::key_value_pair& it : *object) {
      text +=
          separator + start + json::serialize(json::string(it.key())) + ": ";
      AppendValue(text, it.value(), depth + 1);
      separator = ",";
    }
  } else {
    text += '[';
    for (const json::value& it : value.get_array()) {
      text += separator + start;
      AppendValue(text, it, depth + 1);
      separator = ",";
    }
  }
  text += "\n" + std::string(depth * kIndent, ' ');
  text += value.is_object() ? '}' : ']';
}

}  // namespace

std::string IndentedJson(const json::value& value) {
  std::string text;
  AppendValue(text, value, 0);
  return text + "\n";
}

}  // namespace turmericwinch
