#include "libs/platform/platform_client.h"

namespace turmericwinch {

bool IsWriteConflict(ResultCode code) {
  return code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformExists;
}

PlatformClient::Answer<PlatformHosts> PlatformClient::HostsSince(
    std::uint64_t,
    std::chrono::milliseconds,
    Reason* reason) {
  std::optional<std::string> text = co_await Hosts(reason);
  if (!text)
    co_return std::nullopt;
  co_return PlatformHosts{0, true, std::move(*text)};
}

}  // namespace turmericwinch
