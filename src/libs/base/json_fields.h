// Reads fields of JSON objects without exceptions.

#ifndef SRC_LIBS_BASE_JSON_FIELDS_H_
#define SRC_LIBS_BASE_JSON_FIELDS_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Parses `text`; returns nullopt if it is not exactly one JSON value.
std::optional<boost::json::value> ParseJson(std::string_view text);

// The field as a 64-bit integer; nullopt if it is absent, fractional or out of
// range.
std::optional<std::int64_t> IntField(const boost::json::object& object,
                                     std::string_view name);

// The field as an unsigned 64-bit integer; nullopt if it is absent, fractional,
// negative or out of range.
std::optional<std::uint64_t> UintField(const boost::json::object& object,
                                       std::string_view name);

// The field as a number; nullopt if it is absent or of another type.
std::optional<double> NumberField(const boost::json::object& object,
                                  std::string_view name);

// The field as a string; nullopt if it is absent or of another type.
std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name);

// The field as a bool; nullopt if it is absent or of another type.
std::optional<bool> BoolField(const boost::json::object& object,
                              std::string_view name);

// The field as an object; null if it is absent or of another type.
const boost::json::object* ObjectField(const boost::json::object& object,
                                       std::string_view name);

// The field as an array; null if it is absent or of another type.
const boost::json::array* ArrayField(const boost::json::object& object,
                                     std::string_view name);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_JSON_FIELDS_H_
