#include "libs/config/config_reader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/stream_parser.hpp>

#include "libs/base/json_fields.h"
#include "libs/config/config_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

bool IsName(std::string_view name) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyz0123456789-.";
  return !name.empty() && name.size() <= kConfigMaxNameLength &&
         name.find_first_not_of(kAllowed) == std::string_view::npos &&
         name.front() != '-' && name.front() != '.';
}

std::vector<std::string> KindNames() {
  std::vector<std::string> names;
  for (int n = 0; n < kConfigKindCount; ++n)
    names.emplace_back(NameOf(static_cast<ConfigKind>(n)));
  return names;
}

// Byte offset `offset` of `text` as "line N".
std::string LineOf(std::string_view text, std::size_t offset) {
  const auto end = text.begin() + std::min(offset, text.size());
  return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

void ReadObject(const std::string& file,
                const json::value& value,
                std::size_t index,
                ConfigSet& set,
                std::vector<ConfigError>& errors) {
  const std::string place = "object " + std::to_string(index + 1);
  const json::object* members = value.if_object();
  if (!members) {
    errors.push_back({file, place, "", "is not a JSON object", ""});
    return;
  }
  std::string kind_name = StringField(*members, "kind").value_or("");
  std::string name = StringField(*members, "name").value_or("");
  std::optional<ConfigKind> kind = ParseConfigKind(kind_name);
  if (!kind) {
    errors.push_back(
        {file, place, "kind",
         kind_name.empty() ? "is missing" : "is unknown: '" + kind_name + "'",
         SuggestCorrection(kind_name, KindNames())});
    return;
  }
  if (!IsName(name)) {
    errors.push_back(
        {file, place, "name",
         name.empty() ? "is missing" : "is not a valid name: '" + name + "'",
         "use up to 63 of a-z, 0-9, '-' and '.'"});
    return;
  }
  ConfigObject object{*kind, name, {}, file};
  for (const auto& it : *members) {
    if (it.key() != "kind" && it.key() != "name")
      object.fields[it.key()] = it.value();
  }
  if (const ConfigObject* other = set.Find(*kind, name)) {
    errors.push_back({file, QualifiedName(object), "name",
                      "is a duplicate of the one in " + other->file,
                      "remove or rename one"});
    return;
  }
  set.Add(std::move(object));
}

}  // namespace

void ReadConfigText(const std::string& file,
                    std::string_view text,
                    ConfigSet& set,
                    std::vector<ConfigError>& errors) {
  json::stream_parser parser;
  boost::system::error_code ec;
  const std::size_t n = parser.write_some(text.data(), text.size(), ec);
  if (!ec)
    parser.finish(ec);
  if (!ec && n < text.size() &&
      text.find_first_not_of(" \t\r\n", n) != std::string_view::npos)
    ec = json::error::extra_data;
  if (ec) {
    errors.push_back(
        {file, LineOf(text, n), "", "is not valid JSON: " + ec.message(), ""});
    return;
  }
  const json::value value = parser.release();
  const json::array* items = value.if_array();
  if (!items) {
    ReadObject(file, value, 0, set, errors);
    return;
  }
  for (std::size_t it = 0; it < items->size(); ++it)
    ReadObject(file, (*items)[it], it, set, errors);
}

}  // namespace turmericwinch
