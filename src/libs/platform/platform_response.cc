#include "libs/platform/platform_response.h"

#include <optional>

#include "libs/base/json_fields.h"
#include "libs/base/lenient_json.h"
#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"store"};

}  // namespace

boost::json::value ParsePlatformResponse(
    const std::string& body,
    const std::set<std::string_view>& contents) {
  if (std::optional<boost::json::value> value = ParseJson(body))
    return *std::move(value);
  LogEvent(kLog, Severity::kWarning, "object_unreadable",
           {{"bytes", body.size()}});
  return ParseJsonLeniently(body, contents);
}

}  // namespace turmericwinch
