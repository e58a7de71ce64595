// Formats JSON for a terminal.

#ifndef SRC_LIBS_OPERATIONS_INDENTED_JSON_H_
#define SRC_LIBS_OPERATIONS_INDENTED_JSON_H_

#include <boost/json/value.hpp>
#include <string>

namespace turmericwinch {

// `value` as JSON with a line for each member. An object or array that fits
// into one line stays on one line.
std::string IndentedJson(const boost::json::value& value);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_INDENTED_JSON_H_
