#include "libs/gateway/gateway_context.h"

#include <ctime>
#include <fstream>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/gateway/cold_target_log.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kIncarnationBytes = 6;
constexpr char kBootIdFile[] = "/proc/sys/kernel/random/boot_id";
constexpr LogCategory kLog{"gateway"};
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::int64_t kMsPerSecond = 1'000;
constexpr std::int64_t kNsPerMs = 1'000'000;

BootTime TimeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs);
}

}  // namespace

BootClock SystemBootClock() {
  BootClock clock;
  std::ifstream file(kBootIdFile);
  file >> clock.id;
  clock.now = TimeSinceBoot;
  return clock;
}

GatewayContext::GatewayContext(GatewaySettings initial_settings,
                               GatewayDialect dialect)
    : settings(std::move(initial_settings)),
      dialect(std::move(dialect)),
      incarnation(RandomHex(kIncarnationBytes)),
      targets(settings.failure_domain, settings.host),
      ledger(settings.host + "_" + incarnation),
      retries(settings.retry_ratio, settings.retry_slack),
      link(settings.link_mbps * kBytesPerMegabit) {
  client.SetUnresponsivePeerTimeout(kTargetSilenceTimeout);
  targets.SetColdBound(settings.cold_overshoot, settings.cold_tolerance);
  targets.SetColdHandler(LogColdTarget);
}

bool GatewayContext::IsLinkSaturated() {
  const std::optional<bool> change =
      link.Update(std::chrono::steady_clock::now());
  if (change) {
    LogEvent(kLog, *change ? Severity::kWarning : Severity::kInfo,
             *change ? "link_saturated" : "link_relieved",
             {{"bytes_per_s", static_cast<std::int64_t>(link.rate())},
              {"link_mbps", static_cast<std::int64_t>(settings.link_mbps)}});
  }
  return link.is_saturated();
}

}  // namespace turmericwinch
