#include "libs/gateway/gateway_context.h"

#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kIncarnationBytes = 6;

}  // namespace

GatewayContext::GatewayContext(GatewaySettings given, GatewayDialect dialect)
    : settings(std::move(given)),
      dialect(std::move(dialect)),
      incarnation(RandomHex(kIncarnationBytes)),
      targets(settings.failure_domain, settings.host),
      ledger(settings.host + "_" + incarnation),
      retries(settings.retry_ratio, settings.retry_slack) {
  client.SetSilence(kTargetSilence);
}

}  // namespace turmericwinch
