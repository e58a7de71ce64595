// JSON for people.

#ifndef SRC_LIBS_OPERATIONS_INDENTED_JSON_H_
#define SRC_LIBS_OPERATIONS_INDENTED_JSON_H_

#include <boost/json/value.hpp>
#include <string>

namespace turmericwinch {

// `value` with a line for each member; still JSON. Objects and arrays without
// inner ones stay on one line as long as it is short.
std::string IndentedJson(const boost::json::value& value);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_INDENTED_JSON_H_
