// Requests that find no room at their service's targets and wait in the host.

#ifndef SRC_LIBS_ROUTING_TARGET_QUEUE_H_
#define SRC_LIBS_ROUTING_TARGET_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "libs/routing/fair_queue.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// One waiting request.
struct QueueTicket {
  std::string service;
  std::uint64_t request = 0;

  bool operator<(const QueueTicket& other) const {
    return std::tie(service, request) < std::tie(other.service, other.request);
  }
};

// A waiting request that may be sent now.
struct DequeuedRequest {
  QueueTicket ticket;
  TargetChoice choice;
};

// A queue in fair order by team for each service, in front of a table that it
// does not own. Free of clocks and not safe for use by several threads.
class TargetQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit TargetQueue(TargetTable& table) : table_(table) {}

  // A target if there is room and nothing of the same team waits. Else, unless
  // the request is refused, `ticket` is set: it waits. Reasons: kOverloaded,
  // kNoTarget.
  std::optional<TargetChoice> BeginOrEnqueue(const RoutingRequest& wish,
                                             TimePoint deadline,
                                             TimePoint now,
                                             std::optional<QueueTicket>* ticket,
                                             Reason* reason);
  // The waiting requests that may start now; they wait no more. To be called
  // when an attempt ended and when the targets changed.
  std::vector<DequeuedRequest> DequeueReady(TimePoint now);
  // Takes out a request that gave up.
  void Remove(const QueueTicket& ticket);
  // Waiting requests by service.
  std::map<std::string, std::size_t> Sizes() const;

 private:
  struct Queue {
    FairQueue order;
    std::map<std::uint64_t, RoutingRequest> wishes;
  };

  void DequeueReady(const std::string& service,
                    Queue& queue,
                    TimePoint now,
                    std::vector<DequeuedRequest>& starts);

  TargetTable& table_;
  std::map<std::string, Queue> queues_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_QUEUE_H_
