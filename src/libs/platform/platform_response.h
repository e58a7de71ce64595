// Parses responses of the platform, which hold what other writers stored.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_RESPONSE_H_
#define SRC_LIBS_PLATFORM_PLATFORM_RESPONSE_H_

#include <boost/json/value.hpp>
#include <set>
#include <string>
#include <string_view>

namespace turmericwinch {

// Parses the body of a response. Other writers may have stored contents that
// ParseJson() rejects; such an object keeps its name and version, and its
// members named in `contents` are null. Returns null if `body` is not JSON text
// even without them.
boost::json::value ParsePlatformResponse(
    const std::string& body,
    const std::set<std::string_view>& contents);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_RESPONSE_H_
