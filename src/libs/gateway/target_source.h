// Watches the list of targets in the store.

#ifndef SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
#define SRC_LIBS_GATEWAY_TARGET_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "libs/gateway/listed_targets.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Used on the control thread.
class TargetSource {
 public:
  using Sink = std::function<void(const HostList&)>;

  TargetSource(PlatformClient& platform, Sink on_list);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

  // Time of the store's last answer, or of the start before the first one.
  std::chrono::steady_clock::time_point last_contact() const {
    return last_contact_;
  }

 private:
  // Applies an answer of the store.
  void HandleHosts(const PlatformHosts& hosts, ListOrigin origin);
  // What a list of this version follows.
  ListOrigin OriginOf(std::uint64_t version, bool after_outage) const;
  // Logs the changes and passes the new list to `on_list_`.
  void Publish(const std::vector<HostListChange>& changes);

  PlatformClient& platform_;
  Sink on_list_;
  ListedTargets targets_;
  std::uint64_t version_ = 0;
  // Era of the last answer of the store.
  std::uint64_t era_ = 0;
  std::chrono::steady_clock::time_point last_contact_ =
      std::chrono::steady_clock::now();
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
