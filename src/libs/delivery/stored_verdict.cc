#include "libs/delivery/stored_verdict.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr char kUntilField[] = "until_ms";

}  // namespace

std::string VerdictText(std::int64_t until_ms) {
  return json::serialize(json::object{{kUntilField, until_ms}});
}

std::optional<std::int64_t> ParseVerdictEnd(std::string_view text) {
  const std::optional<json::value> value = ParseJson(text);
  const json::object* verdict = value ? value->if_object() : nullptr;
  return verdict ? IntField(*verdict, kUntilField) : std::nullopt;
}

}  // namespace turmericwinch
