#include "libs/base/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <limits>

namespace turmericwinch {

std::optional<boost::json::value> ParseJson(std::string_view text) {
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(text, ec);
  if (ec)
    return std::nullopt;
  return value;
}

std::optional<std::int64_t> IntField(const boost::json::object& object,
                                     std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value)
    return std::nullopt;
  if (value->is_int64())
    return value->get_int64();
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  if (value->is_uint64() && value->get_uint64() <= kMax)
    return static_cast<std::int64_t>(value->get_uint64());
  return std::nullopt;
}

std::optional<std::uint64_t> UintField(const boost::json::object& object,
                                       std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value)
    return std::nullopt;
  if (value->is_uint64())
    return value->get_uint64();
  if (value->is_int64() && value->get_int64() >= 0)
    return static_cast<std::uint64_t>(value->get_int64());
  return std::nullopt;
}

std::optional<double> NumberField(const boost::json::object& object,
                                  std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value || !value->is_number())
    return std::nullopt;
  return value->to_number<double>();
}

std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value || !value->is_string())
    return std::nullopt;
  return std::string(value->get_string());
}

std::optional<bool> BoolField(const boost::json::object& object,
                              std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value || !value->is_bool())
    return std::nullopt;
  return value->get_bool();
}

const boost::json::object* ObjectField(const boost::json::object& object,
                                       std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  return value ? value->if_object() : nullptr;
}

const boost::json::array* ArrayField(const boost::json::object& object,
                                     std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  return value ? value->if_array() : nullptr;
}

}  // namespace turmericwinch
