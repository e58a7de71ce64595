// Watches the list of targets in the store.

#ifndef SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
#define SRC_LIBS_GATEWAY_TARGET_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "libs/gateway/listed_targets.h"
#include "libs/gateway/store_news_exchange.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Used on the control thread.
class TargetSource {
 public:
  using Sink = std::function<void(const HostList&)>;

  TargetSource(PlatformClient& platform, StoreNewsExchange& news, Sink on_list);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

  // Time of the store's last answer, or of the start before the first one.
  std::chrono::steady_clock::time_point last_contact() const {
    return last_contact_;
  }

 private:
  // Applies an answer of the store.
  void HandleHosts(const PlatformHosts& hosts, ListOrigin origin);
  // Applies changes that another host has read, if they follow the list.
  void HandleNews(const TargetListNews& news);
  // Applies the text of changes and publishes the list.
  void ApplyChanges(const std::string& text, Reason* reason);
  // Publishes what is due by time.
  void PublishTimed();
  // Waits until the store should be called for the list.
  boost::asio::awaitable<void> WaitUntilReadIsDue();
  void HandleFailedCall(const Reason& reason);
  // What a list of this version follows.
  ListOrigin OriginOf(StoreVersion version, bool after_outage) const;
  // Logs the changes and passes the new list to `on_list_`.
  void Publish(const std::vector<HostListChange>& changes);

  PlatformClient& platform_;
  StoreNewsExchange& news_;
  Sink on_list_;
  ListedTargets targets_;
  StoreVersion version_;
  // Whether the store did not answer the last call, or news show that it was
  // away. The whole list is then read.
  bool outage_ = false;
  // Era of the last answer of the store.
  std::uint64_t era_ = 0;
  std::chrono::steady_clock::time_point last_contact_ =
      std::chrono::steady_clock::now();
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_TARGET_SOURCE_H_
