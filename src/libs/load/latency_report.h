// Percentiles of first tokens, gaps between tokens and whole answers.

#ifndef SRC_LIBS_LOAD_LATENCY_REPORT_H_
#define SRC_LIBS_LOAD_LATENCY_REPORT_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/load/call_record.h"

namespace turmericwinch {

// Latencies in logarithmic bins of about 1%, from 1 microsecond to 1,000 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(std::chrono::microseconds latency);
  // The latency that `percent` of 100 do not exceed; zero if there are none.
  std::chrono::microseconds Percentile(double percent) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

// Counts, results and percentiles of answered requests, by kind.
std::string LatencyText(const std::vector<CallRecord>& records,
                        std::chrono::milliseconds duration);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LATENCY_REPORT_H_
