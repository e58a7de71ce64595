// Keeps the platform's host list, read there or had from a peer.

#ifndef SRC_LIBS_NODE_HOST_LIST_POLLER_H_
#define SRC_LIBS_NODE_HOST_LIST_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "libs/node/fleet_keeper.h"
#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// A few hosts of each failure domain read the platform's list; the others ask
// them whether it changed. The last list stays in use while the platform is
// away. Runs on the control thread.
class HostListPoller {
 public:
  HostListPoller(PlatformClient& platform,
                 FleetKeeper& fleet,
                 std::function<void(const HostList&)> on_list);

  // Polls until the io_context stops.
  boost::asio::awaitable<void> Run();

  // A frame from a peer. False if it is not about the host list.
  bool Receive(const PeerFrame& frame);

  // The last list read.
  const HostList& list() const { return list_; }

 private:
  boost::asio::awaitable<void> ReadPlatform();
  void AskPeer();
  void Take(std::string text);

  PlatformClient& platform_;
  FleetKeeper& fleet_;
  std::function<void(const HostList&)> on_list_;
  HostList list_;
  std::string text_;
  std::string digest_;
  std::chrono::steady_clock::time_point heard_;
  std::size_t asked_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_POLLER_H_
