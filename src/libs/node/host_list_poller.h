// Keeps this host's copy of the host list current.

#ifndef SRC_LIBS_NODE_HOST_LIST_POLLER_H_
#define SRC_LIBS_NODE_HOST_LIST_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>

#include "libs/node/fleet_manager.h"
#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// In each failure domain, kHostListReaders hosts watch the platform for changes
// of the list and send them to the other hosts of the domain, which ask a
// reader every kHostListPeerCheckInterval whether they missed a change. The
// last list stays in use while the platform is unavailable. Runs on the control
// thread.
class HostListPoller {
 public:
  HostListPoller(PlatformClient& platform,
                 FleetManager& fleet,
                 std::function<void(const HostList&)> on_list);
  ~HostListPoller();

  // Follows the list until the io_context stops.
  boost::asio::awaitable<void> Run();

  // Handles a frame from a peer. False if the frame is not about the host list.
  bool HandleFrame(const PeerFrame& frame);

  // The current list.
  const HostList& list() const;

  // Size, digest and version of the list, and counters of the updates.
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_POLLER_H_
