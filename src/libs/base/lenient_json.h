// Reads JSON text of which some values cannot be parsed. Free of I/O.

#ifndef SRC_LIBS_BASE_LENIENT_JSON_H_
#define SRC_LIBS_BASE_LENIENT_JSON_H_

#include <boost/json/value.hpp>
#include <set>
#include <string_view>

namespace turmericwinch {

// Parses `text` with null for each value that ParseJson() rejects: values that
// are nested too deeply, numbers out of range, invalid UTF-8. The smallest such
// value is replaced, but a member named in `whole_members` as a whole. Text
// whose brackets, quotes or commas are misplaced is null.
boost::json::value ParseJsonLeniently(
    std::string_view text,
    const std::set<std::string_view>& whole_members);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_LENIENT_JSON_H_
