// The gateway: a daemon between callers and targets that keeps its persistent
// state in the operators' store.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_H_
#define SRC_LIBS_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>

#include "libs/base/reason.h"
#include "libs/gateway/config_source.h"
#include "libs/gateway/gateway_dialect.h"
#include "libs/gateway/gateway_settings.h"

namespace turmericwinch {

// The parts that a deployment supplies: its dialect, its configuration and its
// store. The store's client is created and used on the control thread.
struct GatewayDeployment {
  GatewayDialect dialect;
  std::string config_name;
  ConfigSource::Decoder decode_config;
  std::function<std::unique_ptr<PlatformClient>(boost::asio::io_context&,
                                                const GatewaySettings&)>
      make_store;
};

// One per process. SIGTERM and SIGINT drain the gateway and end it; SIGHUP is
// only logged.
class Gateway {
 public:
  Gateway(GatewaySettings settings, GatewayDeployment deployment);
  ~Gateway();

  // Listens on all addresses.
  std::optional<bool> Start(Reason* reason);
  // Runs until a signal ends the process; returns its exit code.
  int Run();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_H_
