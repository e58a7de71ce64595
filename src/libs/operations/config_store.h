// Reads and publishes configuration in the platform.

#ifndef SRC_LIBS_OPERATIONS_CONFIG_STORE_H_
#define SRC_LIBS_OPERATIONS_CONFIG_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/config/config_head.h"
#include "libs/config/config_set.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// A published generation. `version` is that of the head object, 0 if nothing
// was published yet.
struct PublishedConfig {
  std::uint64_t version = 0;
  ConfigHead head;
  ConfigSet set;
};

// Reads the published set; an empty one if nothing was published.
boost::asio::awaitable<std::optional<PublishedConfig>> FetchConfig(
    PlatformClient& platform,
    Reason* reason);

// Publishes `set` on top of `base` in one conditional step; answers the new
// generation. kConfigConflict if another publication came first.
boost::asio::awaitable<std::optional<std::uint64_t>> PublishConfig(
    PlatformClient& platform,
    const PublishedConfig& base,
    const ConfigSet& set,
    std::string author,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_CONFIG_STORE_H_
