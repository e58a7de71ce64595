// Watches the evacuations of failure domains in the store.

#ifndef SRC_LIBS_GATEWAY_EVACUATION_SOURCE_H_
#define SRC_LIBS_GATEWAY_EVACUATION_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "libs/gateway/domain_evacuations.h"
#include "libs/gateway/store_news_exchange.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Used on the control thread.
class EvacuationSource {
 public:
  using Sink = std::function<void(const std::set<std::string>&)>;

  // `domains` are all failure domains of the deployment. Calls `on_change` with
  // the evacuated ones when they are first known, and with each change.
  EvacuationSource(PlatformClient& platform,
                   StoreNewsExchange& news,
                   const std::vector<std::string>& domains,
                   Sink on_change);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

  const DomainEvacuations& evacuations() const { return evacuations_; }

 private:
  void HandleNews(const EvacuationNews& news);
  // Logs the evacuated domains and passes them to `on_change_`.
  void Publish();
  void LogUnknownNames();
  void SetStoreAvailable(bool available, const Reason& reason);

  PlatformClient& platform_;
  StoreNewsExchange& news_;
  Sink on_change_;
  DomainEvacuations evacuations_;
  bool store_available_ = true;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_EVACUATION_SOURCE_H_
