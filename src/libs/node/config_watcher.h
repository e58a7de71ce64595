// Follows the published configuration through the platform and through peers.

#ifndef SRC_LIBS_NODE_CONFIG_WATCHER_H_
#define SRC_LIBS_NODE_CONFIG_WATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/node/config_holder.h"
#include "libs/node/fleet_manager.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Does the I/O for a ConfigFollower. kConfigWatchers hosts of each failure
// domain watch the platform; the others receive notices from peers. Runs on the
// control thread.
class ConfigWatcher {
 public:
  // `on_change` is called after each new generation is in force.
  ConfigWatcher(PlatformClient& platform,
                FleetManager& fleet,
                ConfigHolder& holder,
                std::function<void()> on_change);
  ~ConfigWatcher();

  // Follows the configuration until the io_context stops.
  boost::asio::awaitable<void> Run();

  // Handles a frame from a peer; ignores frames that are not about the
  // configuration.
  void HandleFrame(const PeerFrame& frame);
  // Records that the peer at `address` has this generation in force, and sends
  // it a notice if the generation is older than this host's.
  void HandlePeerGeneration(const std::string& address,
                            std::uint64_t generation);

  // Whether the last call to the platform was answered.
  bool platform_reachable() const;
  // Why no configuration is in force, or why the published one is not accepted.
  std::string Problem() const;
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CONFIG_WATCHER_H_
