// Watches the operator's configuration in the store.

#ifndef SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_
#define SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/base/reason.h"
#include "libs/gateway/gateway_config.h"
#include "libs/gateway/store_news_exchange.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Used on the control thread. Within one run of the process only newer versions
// are applied.
class ConfigSource {
 public:
  // Decodes a configuration from the value of its object.
  using Decoder =
      std::function<std::optional<GatewayConfig>(std::string_view, Reason*)>;
  using Sink = std::function<void(std::shared_ptr<const GatewayConfig>)>;

  // Watches the object `name` and calls `on_config` with each newer version.
  ConfigSource(PlatformClient& platform,
               StoreNewsExchange& news,
               std::string name,
               Decoder decode,
               Sink on_config);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  void HandleObject(const PlatformObject& object);

  PlatformClient& platform_;
  StoreNewsExchange& news_;
  std::string name_;
  Decoder decode_;
  Sink on_config_;
  // The store's version of the object, and the operator's version in it.
  StoreVersion revision_;
  std::uint64_t version_ = 0;
  bool store_available_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_
