#include "libs/load/latency_report.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <map>

namespace turmericwinch {

namespace {

namespace histogram = boost::histogram;

constexpr int kBins = 2000;
constexpr double kMinMicroseconds = 1;
constexpr double kMaxMicroseconds = 1e9;

using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeBins() {
  return histogram::make_histogram(
      LatencyAxis(kBins, kMinMicroseconds, kMaxMicroseconds));
}

struct KindLatency {
  std::int64_t answered = 0;
  LatencyHistogram first_byte;
  LatencyHistogram gaps;
  LatencyHistogram total_time;
};

std::string FormatRow(std::string_view kind,
                      std::string_view what,
                      const LatencyHistogram& latency) {
  const auto ms = [&](double percent) {
    return static_cast<double>(latency.Percentile(percent).count()) / 1e3;
  };
  char buf[128];
  std::snprintf(buf, sizeof(buf), "  %-14s %-14s %10.3f %10.3f %10.3f\n",
                std::string(kind).c_str(), std::string(what).c_str(), ms(50),
                ms(95), ms(99));
  return buf;
}

}  // namespace

class LatencyHistogram::Private {
 public:
  decltype(MakeBins()) bins = MakeBins();
  double count = 0;
};

LatencyHistogram::LatencyHistogram() : d_(std::make_unique<Private>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::AddLatency(std::chrono::microseconds latency) {
  d_->bins(static_cast<double>(latency.count()));
  ++d_->count;
}

std::chrono::microseconds LatencyHistogram::Percentile(double percent) const {
  const double target_count = d_->count * percent / 100;
  double count_below = d_->bins.at(-1);
  double edge = 0;
  for (int n = 0; n < kBins && count_below < target_count; ++n) {
    count_below += d_->bins.at(n);
    edge = d_->bins.axis().bin(n).upper();
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(edge));
}

std::string FormatLatencyReport(const std::vector<CallRecord>& records,
                                std::chrono::milliseconds duration) {
  std::map<CallKind, KindLatency> kinds;
  std::map<std::string, std::int64_t> results;
  std::int64_t answered = 0;
  for (const CallRecord& it : records) {
    ++results[it.result];
    if (it.outcome != CallOutcome::kAnswered)
      continue;
    ++answered;
    KindLatency& kind = kinds[it.kind];
    ++kind.answered;
    kind.first_byte.AddLatency(it.first_byte);
    kind.total_time.AddLatency(it.total_time);
    for (std::chrono::microseconds gap : it.gaps)
      kind.gaps.AddLatency(gap);
  }
  std::string text = "results\n";
  for (const auto& [name, n] : results)
    text += "  " + name + ": " + std::to_string(n) + "\n";
  text += "answered per second: " +
          std::to_string(answered * 1000 /
                         std::max<std::int64_t>(duration.count(), 1)) +
          "\nlatency in ms                        p50        p95        p99\n";
  for (const auto& [kind, latency] : kinds) {
    text += FormatRow(NameOf(kind), "first_byte", latency.first_byte);
    if (kind == CallKind::kStreamedChat)
      text += FormatRow(NameOf(kind), "between_tokens", latency.gaps);
    text += FormatRow(NameOf(kind), "whole", latency.total_time);
  }
  return text;
}

}  // namespace turmericwinch
