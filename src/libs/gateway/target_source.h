// Follows the list of targets in the store.

#ifndef SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
#define SRC_LIBS_GATEWAY_TARGET_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <vector>

#include "libs/gateway/listed_targets.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// On the control thread.
class TargetSource {
 public:
  using Sink = std::function<void(const HostList&)>;

  TargetSource(PlatformClient& platform, Sink on_list);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

  // When the store last answered; the start before that.
  std::chrono::steady_clock::time_point heard_at() const { return heard_at_; }

 private:
  // Takes an answer in. `after_outage`: the store was out of reach before it.
  void Take(const PlatformHosts& hosts, bool after_outage);
  // Logs and passes on what changed.
  void Publish(const std::vector<HostListChange>& changes);

  PlatformClient& platform_;
  Sink on_list_;
  ListedTargets targets_;
  std::uint64_t version_ = 0;
  std::chrono::steady_clock::time_point heard_at_ =
      std::chrono::steady_clock::now();
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
