// Counters and latency histograms of a node.

#ifndef SRC_LIBS_NODE_NODE_METRICS_H_
#define SRC_LIBS_NODE_NODE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "libs/base/result_code.h"
#include "libs/delivery/delivery_event.h"

namespace turmericwinch {

// Safe from any thread.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();

  // Counts a finished request by its result.
  void CountResult(ResultCode code);
  // Counts a response with a load header that is not valid.
  void CountInvalidLoadHeader();
  // Counts a delivery event.
  void CountEvent(DeliveryEvent event);
  // Records the time to the first byte of an answer.
  void RecordFirstByte(std::chrono::nanoseconds elapsed);
  // Records the time to the end of an answer.
  void RecordWholeAnswer(std::chrono::nanoseconds elapsed);
  std::uint64_t ResultCount(ResultCode code) const;

  // All metrics in the text exposition format.
  std::string Exposition() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_METRICS_H_
