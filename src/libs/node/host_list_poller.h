// Keeps the platform's host list, read there or had from a peer.

#ifndef SRC_LIBS_NODE_HOST_LIST_POLLER_H_
#define SRC_LIBS_NODE_HOST_LIST_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>

#include "libs/node/fleet_keeper.h"
#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// A few hosts of each failure domain wait on the platform for changes of its
// list and pass them on to the others, which seldom ask whether they missed
// any. The last list stays in use while the platform is away. Runs on the
// control thread.
class HostListPoller {
 public:
  HostListPoller(PlatformClient& platform,
                 FleetKeeper& fleet,
                 std::function<void(const HostList&)> on_list);
  ~HostListPoller();

  // Follows the list until the io_context stops.
  boost::asio::awaitable<void> Run();

  // A frame from a peer. False if it is not about the host list.
  bool Receive(const PeerFrame& frame);

  // The last list read.
  const HostList& list() const;

  // Size, digest and version of the list, and what came from where.
  boost::json::object Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_POLLER_H_
