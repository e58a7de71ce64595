// Percentiles of the times to the first byte, between the pieces of streams and
// to the whole answer.

#ifndef SRC_LIBS_LOAD_LATENCY_REPORT_H_
#define SRC_LIBS_LOAD_LATENCY_REPORT_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/load/call_record.h"

namespace turmericwinch {

// Histogram of latencies with logarithmic bins about 1% wide, from 1
// microsecond to 1,000 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void AddLatency(std::chrono::microseconds latency);
  // The latency that `percent` percent of the values do not exceed. Zero if the
  // histogram is empty.
  std::chrono::microseconds Percentile(double percent) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

// Formats the number of requests by result, the rate of answers and the latency
// percentiles of answered requests by kind.
std::string FormatLatencyReport(const std::vector<CallRecord>& records,
                                std::chrono::milliseconds duration);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LATENCY_REPORT_H_
