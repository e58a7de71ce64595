#include "libs/node/platform_metrics.h"

#include <functional>

namespace turmericwinch {

namespace {

using Value = std::function<std::uint64_t(const PlatformDutyStats&)>;

std::string TypeLine(const std::string& name, const char* type) {
  return "# TYPE " + name + " " + type + "\n";
}

using CallCount = std::uint64_t (CallCounter::*)(PlatformDuty,
                                                 PlatformCallKind) const;

std::string CallMetric(const CallCounter& counter,
                       const std::string& name,
                       CallCount count) {
  std::string text = TypeLine(name, "counter");
  for (int duty = 0; duty < kPlatformDuties; ++duty) {
    for (int kind = 0; kind < kPlatformCallKinds; ++kind) {
      const auto call_duty = static_cast<PlatformDuty>(duty);
      const auto call_kind = static_cast<PlatformCallKind>(kind);
      text += name + "{duty=\"" + std::string(NameOf(call_duty)) +
              "\",kind=\"" + std::string(NameOf(call_kind)) + "\"} " +
              std::to_string((counter.*count)(call_duty, call_kind)) + "\n";
    }
  }
  return text;
}

std::string MetricByDuty(const PlatformLimiter& limiter,
                         const std::string& name,
                         const char* type,
                         const Value& value) {
  std::string text = TypeLine(name, type);
  for (int n = 0; n < kPlatformDuties; ++n) {
    const auto duty = static_cast<PlatformDuty>(n);
    text += name + "{duty=\"" + std::string(NameOf(duty)) + "\"} " +
            std::to_string(value(limiter.Stats(duty))) + "\n";
  }
  return text;
}

}  // namespace

std::string CallMetricsText(const CallCounter& counter) {
  return CallMetric(counter, "turmericwinch_platform_calls_total",
                    &CallCounter::Count) +
         CallMetric(counter, "turmericwinch_platform_calls_unanswered_total",
                    &CallCounter::CountUnanswered);
}

std::string PlatformMetricsText(const HttpPlatformClient& platform) {
  std::string text = CallMetricsText(platform.counter());
  const PlatformLimiter* limiter = platform.limiter();
  if (!limiter)
    return text;
  text += MetricByDuty(*limiter, "turmericwinch_platform_waiting", "gauge",
                       [](const auto& it) { return it.waiting; });
  text += MetricByDuty(*limiter, "turmericwinch_platform_waited_total",
                       "counter", [](const auto& it) { return it.waited; });
  text += MetricByDuty(*limiter, "turmericwinch_platform_over_limit_total",
                       "counter", [](const auto& it) { return it.over_limit; });
  text += MetricByDuty(*limiter, "turmericwinch_platform_while_away_total",
                       "counter", [](const auto& it) { return it.while_away; });
  const std::string share = "turmericwinch_platform_share_per_second";
  text += TypeLine(share, "gauge");
  text += share + "{kind=\"read\"} " + std::to_string(limiter->share().reads) +
          "\n";
  text += share + "{kind=\"write\"} " +
          std::to_string(limiter->share().writes) + "\n";
  const std::string away = "turmericwinch_platform_away";
  text += TypeLine(away, "gauge");
  text += away + " " + (limiter->unavailable() ? "1" : "0") + "\n";
  return text;
}

}  // namespace turmericwinch
