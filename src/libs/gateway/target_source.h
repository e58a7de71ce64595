// Follows the list of targets in the store.

#ifndef SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
#define SRC_LIBS_GATEWAY_TARGET_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// On the control thread. A target whose entry went missing while the store was
// out of reach stays listed for kLapsedHold after the store's return.
class TargetSource {
 public:
  using Sink = std::function<void(const HostList&)>;

  TargetSource(PlatformClient& platform, Sink on_list);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  using Clock = std::chrono::steady_clock;

  // Takes an answer in. `after_outage`: the store was out of reach before it.
  void Take(const PlatformHosts& hosts, bool after_outage);
  // Drops the entries whose hold is over.
  void DropLapsed();
  void Publish();

  PlatformClient& platform_;
  Sink on_list_;
  HostList list_;
  // Entries missing since an outage, with the end of their hold.
  std::map<std::string, Clock::time_point> lapsed_;
  std::uint64_t version_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
