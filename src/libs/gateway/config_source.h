// Follows the operator's configuration in the store.

#ifndef SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_
#define SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/base/reason.h"
#include "libs/gateway/gateway_config.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// On the control thread. Versions only rise within one run of the process.
class ConfigSource {
 public:
  // Reads a configuration from the text of its object.
  using Decoder =
      std::function<std::optional<GatewayConfig>(std::string_view, Reason*)>;
  using Sink = std::function<void(std::shared_ptr<const GatewayConfig>)>;

  // Follows the object `name`; `on_config` gets each newer version.
  ConfigSource(PlatformClient& platform,
               std::string name,
               Decoder decode,
               Sink on_config);

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  void Take(const PlatformObject& object);

  PlatformClient& platform_;
  std::string name_;
  Decoder decode_;
  Sink on_config_;
  std::uint64_t revision_ = 0;
  std::uint64_t version_ = 0;
  bool in_touch_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_CONFIG_SOURCE_H_
