#include "libs/node/node_metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>

#include "libs/base/soft_assert.h"

namespace turmericwinch {

namespace {

namespace histogram = boost::histogram;

constexpr int kBinCount = 48;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 600;

using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

// Logarithmic bins from 50 microseconds to 10 minutes.
auto MakeLatencyBins() {
  return histogram::make_histogram(
      LatencyAxis(kBinCount, kMinSeconds, kMaxSeconds));
}

using Bins = decltype(MakeLatencyBins());

// Latencies in logarithmic bins, and their sum in seconds.
class LatencyHistogram {
 public:
  void Record(std::chrono::nanoseconds elapsed) {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    bins_(seconds);
    sum_ += seconds;
  }

  // In the text exposition format: each bucket counts all times up to its
  // bound.
  std::string Exposition(const std::string& name) const {
    std::string text = "# TYPE " + name + " histogram\n";
    double total = bins_.at(-1);
    for (int n = 0; n < kBinCount; ++n) {
      total += bins_.at(n);
      text += name + "_bucket{le=\"" +
              std::to_string(bins_.axis().bin(n).upper()) + "\"} " +
              std::to_string(static_cast<std::uint64_t>(total)) + "\n";
    }
    total += bins_.at(kBinCount);
    const std::string all = std::to_string(static_cast<std::uint64_t>(total));
    text += name + "_bucket{le=\"+Inf\"} " + all + "\n";
    text += name + "_sum " + std::to_string(sum_) + "\n";
    text += name + "_count " + all + "\n";
    return text;
  }

 private:
  Bins bins_ = MakeLatencyBins();
  double sum_ = 0;
};

}  // namespace

class NodeMetrics::Private {
 public:
  mutable std::mutex mutex;
  std::map<ResultCode, std::uint64_t> results;
  std::array<std::uint64_t, kDeliveryEvents> events{};
  std::uint64_t invalid_load_headers = 0;
  LatencyHistogram first_byte;
  LatencyHistogram whole_answer;
};

NodeMetrics::NodeMetrics() : d_(std::make_unique<Private>()) {}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::CountResult(ResultCode code) {
  std::lock_guard lock(d_->mutex);
  ++d_->results[code];
}

void NodeMetrics::CountInvalidLoadHeader() {
  std::lock_guard lock(d_->mutex);
  ++d_->invalid_load_headers;
}

void NodeMetrics::CountEvent(DeliveryEvent event) {
  std::lock_guard lock(d_->mutex);
  ++d_->events[static_cast<std::size_t>(event)];
}

void NodeMetrics::RecordFirstByte(std::chrono::nanoseconds elapsed) {
  std::lock_guard lock(d_->mutex);
  d_->first_byte.Record(elapsed);
}

void NodeMetrics::RecordWholeAnswer(std::chrono::nanoseconds elapsed) {
  std::lock_guard lock(d_->mutex);
  d_->whole_answer.Record(elapsed);
}

std::uint64_t NodeMetrics::ResultCount(ResultCode code) const {
  std::lock_guard lock(d_->mutex);
  auto it = d_->results.find(code);
  return it == d_->results.end() ? 0 : it->second;
}

std::string NodeMetrics::Exposition() const {
  std::lock_guard lock(d_->mutex);
  std::string text = "# TYPE turmericwinch_requests_total counter\n";
  for (const auto& [code, n] : d_->results) {
    text += "turmericwinch_requests_total{result=\"" +
            std::string(NameOf(code)) + "\"} " + std::to_string(n) + "\n";
  }
  text += "# TYPE turmericwinch_delivery_events_total counter\n";
  for (int n = 0; n < kDeliveryEvents; ++n) {
    text += "turmericwinch_delivery_events_total{event=\"" +
            std::string(NameOf(static_cast<DeliveryEvent>(n))) + "\"} " +
            std::to_string(d_->events[n]) + "\n";
  }
  text += "# TYPE turmericwinch_invalid_load_headers_total counter\n";
  text += "turmericwinch_invalid_load_headers_total " +
          std::to_string(d_->invalid_load_headers) + "\n";
  text += d_->first_byte.Exposition("turmericwinch_first_byte_seconds");
  text += d_->whole_answer.Exposition("turmericwinch_whole_answer_seconds");
  text += "# TYPE turmericwinch_soft_asserts_total counter\n";
  text += "turmericwinch_soft_asserts_total " +
          std::to_string(SoftAssertCount()) + "\n";
  return text;
}

}  // namespace turmericwinch
