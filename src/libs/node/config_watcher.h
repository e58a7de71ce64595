// Follows the published configuration in the platform.

#ifndef SRC_LIBS_NODE_CONFIG_WATCHER_H_
#define SRC_LIBS_NODE_CONFIG_WATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libs/config/config_head.h"
#include "libs/node/config_holder.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Runs on the control thread.
class ConfigWatcher {
 public:
  // `on_change` runs after each new generation is in force.
  ConfigWatcher(PlatformClient& platform,
                ConfigHolder& holder,
                std::function<void()> on_change);
  ~ConfigWatcher();

  // Watches until the io_context stops.
  boost::asio::awaitable<void> Run();

  // Whether the last call to the platform was answered.
  bool platform_reachable() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CONFIG_WATCHER_H_
