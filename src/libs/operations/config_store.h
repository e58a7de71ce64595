// Reads the published configuration from the platform's store and publishes
// new generations.

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

// The newest published generation. `version` is the version of the head object,
// 0 if nothing was published yet.
struct PublishedConfig {
  StoreVersion version;
  ConfigHead head;
  ConfigSet set;
};

// Reads the newest generation. Returns an empty set if nothing was published.
boost::asio::awaitable<std::optional<PublishedConfig>> FetchConfig(
    PlatformClient& platform,
    Reason* reason);

// Publishes `set` as the generation after `base` with one conditional write of
// the head object, and returns the number of the new generation. Fails with
// kConfigConflict if another generation was published since `base`.
boost::asio::awaitable<std::optional<std::uint64_t>> PublishConfig(
    PlatformClient& platform,
    const PublishedConfig& base,
    const ConfigSet& set,
    std::string author,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_CONFIG_STORE_H_
