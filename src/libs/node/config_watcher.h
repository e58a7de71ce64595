// Follows the published configuration, in the platform and from peers.

#ifndef SRC_LIBS_NODE_CONFIG_WATCHER_H_
#define SRC_LIBS_NODE_CONFIG_WATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/node/config_holder.h"
#include "libs/node/fleet_keeper.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Carries out what a ConfigFollower decides. A few hosts of each failure
// domain wait on the platform; the others hear from peers. Runs on the control
// thread.
class ConfigWatcher {
 public:
  // `on_change` runs after each new generation is in force.
  ConfigWatcher(PlatformClient& platform,
                FleetKeeper& fleet,
                ConfigHolder& holder,
                std::function<void()> on_change);
  ~ConfigWatcher();

  // Follows until the io_context stops.
  boost::asio::awaitable<void> Run();

  // A frame from a peer; others than those on configuration are ignored.
  void Receive(const PeerFrame& frame);
  // A peer was heard that has this generation in force.
  void HearPeer(const std::string& address, std::uint64_t generation);

  // Whether the last call to the platform was answered.
  bool platform_reachable() const;
  // Why no configuration is in force, or what is wrong with the published one.
  std::string Trouble() const;
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CONFIG_WATCHER_H_
