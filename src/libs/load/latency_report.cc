#include "libs/load/latency_report.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <map>

namespace turmericwinch {

namespace {

namespace histogram = boost::histogram;

constexpr int kBins = 2000;
constexpr double kLeastMicroseconds = 1;
constexpr double kMostMicroseconds = 1e9;

using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeBins() {
  return histogram::make_histogram(
      LatencyAxis(kBins, kLeastMicroseconds, kMostMicroseconds));
}

struct KindLatency {
  std::int64_t answered = 0;
  LatencyHistogram first_byte;
  LatencyHistogram gaps;
  LatencyHistogram whole;
};

std::string Row(std::string_view kind,
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

void LatencyHistogram::Add(std::chrono::microseconds latency) {
  d_->bins(static_cast<double>(latency.count()));
  ++d_->count;
}

std::chrono::microseconds LatencyHistogram::Percentile(double percent) const {
  const double wanted = d_->count * percent / 100;
  double seen = d_->bins.at(-1);
  double edge = 0;
  for (int n = 0; n < kBins && seen < wanted; ++n) {
    seen += d_->bins.at(n);
    edge = d_->bins.axis().bin(n).upper();
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(edge));
}

std::string LatencyText(const std::vector<CallRecord>& records,
                        std::chrono::milliseconds duration) {
  std::map<CallKind, KindLatency> kinds;
  std::map<std::string, std::int64_t> results;
  std::int64_t answered = 0;
  for (const CallRecord& it : records) {
    ++results[it.result];
    if (it.end != CallEnd::kAnswered)
      continue;
    ++answered;
    KindLatency& kind = kinds[it.kind];
    ++kind.answered;
    kind.first_byte.Add(it.first_byte);
    kind.whole.Add(it.whole);
    for (std::chrono::microseconds gap : it.gaps)
      kind.gaps.Add(gap);
  }
  std::string text = "results\n";
  for (const auto& [name, n] : results)
    text += "  " + name + ": " + std::to_string(n) + "\n";
  text += "answered a second: " +
          std::to_string(answered * 1000 /
                         std::max<std::int64_t>(duration.count(), 1)) +
          "\nlatency in ms                        p50        p95        p99\n";
  for (const auto& [kind, latency] : kinds) {
    text += Row(NameOf(kind), "first_byte", latency.first_byte);
    if (kind == CallKind::kStreamedChat)
      text += Row(NameOf(kind), "between_tokens", latency.gaps);
    text += Row(NameOf(kind), "whole", latency.whole);
  }
  return text;
}

}  // namespace turmericwinch
