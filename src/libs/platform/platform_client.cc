#include "libs/platform/platform_client.h"

#include <algorithm>

namespace turmericwinch {

bool IsWriteConflict(ResultCode code) {
  return code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformExists;
}

PlatformClient::Answer<PlatformHosts> PlatformClient::HostsSince(
    StoreVersion,
    std::chrono::milliseconds,
    Reason* reason) {
  std::optional<std::string> text = co_await Hosts(reason);
  if (!text)
    co_return std::nullopt;
  co_return PlatformHosts{{}, true, std::move(*text)};
}

PlatformClient::Answer<PlatformNames> PlatformClient::NamesSince(
    PlatformDuty duty,
    std::string kind,
    StoreVersion after,
    std::chrono::milliseconds,
    Reason* reason) {
  const std::string prefix = kind + "/";
  std::optional<std::vector<PlatformObject>> objects =
      co_await List(duty, prefix, reason);
  if (!objects)
    co_return std::nullopt;
  // The list has no version of its own, and the removal of the newest object
  // must not make it older than what was returned before.
  PlatformNames names;
  names.version = after;
  for (const PlatformObject& it : *objects) {
    names.version = std::max(names.version, it.version);
    names.present.push_back(it.name.substr(prefix.size()));
  }
  co_return names;
}

}  // namespace turmericwinch
