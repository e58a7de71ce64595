// Reads the platform's host list at intervals.

#ifndef SRC_LIBS_NODE_HOST_LIST_POLLER_H_
#define SRC_LIBS_NODE_HOST_LIST_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// Runs on the control thread. The last list stays in use while the platform
// is away.
class HostListPoller {
 public:
  HostListPoller(PlatformClient& platform,
                 std::function<void(const HostList&)> on_list);

  // Polls until the io_context stops.
  boost::asio::awaitable<void> Run();

  // The last list read.
  const HostList& list() const { return list_; }

 private:
  PlatformClient& platform_;
  std::function<void(const HostList&)> on_list_;
  HostList list_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_POLLER_H_
