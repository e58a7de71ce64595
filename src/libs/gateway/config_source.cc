#include "libs/gateway/config_source.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"config"};

}  // namespace

ConfigSource::ConfigSource(PlatformClient& platform,
                           StoreNewsExchange& news,
                           std::string name,
                           Decoder decode,
                           Sink on_config)
    : platform_(platform),
      news_(news),
      name_(std::move(name)),
      decode_(std::move(decode)),
      on_config_(std::move(on_config)) {}

void ConfigSource::HandleObject(const PlatformObject& object) {
  revision_ = object.version;
  Reason reason;
  std::optional<GatewayConfig> config = decode_(object.value, &reason);
  if (!config) {
    LogEvent(kLog, Severity::kError, "config_rejected",
             {{"revision", ToText(object.version)}, {"reason", reason.text}});
    return;
  }
  if (config->version <= version_)
    return;
  version_ = config->version;
  LogEvent(kLog, Severity::kInfo, "config_in_force",
           {{"version", config->version},
            {"revision", ToText(object.version)},
            {"routes", config->routes.size()}});
  on_config_(std::make_shared<const GatewayConfig>(std::move(*config)));
}

asio::awaitable<void> ConfigSource::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    co_await news_.WaitUntilRead(StoreTopic::kConfig, revision_);
    Reason reason;
    std::optional<PlatformObject> object = co_await platform_.Watch(
        PlatformDuty::kConfig, name_, revision_, news_.WatchWait(), &reason);
    const bool answered =
        object || reason.code == ResultCode::kPlatformNotFound;
    if (answered != store_available_) {
      store_available_ = answered;
      LogEvent(kLog, answered ? Severity::kInfo : Severity::kWarning,
               answered ? "store_regained" : "store_lost",
               {{"object", name_},
                {"code", static_cast<int>(reason.code)},
                {"reason", reason.text}});
    }
    if (object)
      HandleObject(*object);
    if (answered)
      news_.RecordAnswer(StoreTopic::kConfig, revision_);
    if (answered && (object || revision_.IsSet()))
      continue;
    timer.expires_after(kStoreRetryPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace turmericwinch
