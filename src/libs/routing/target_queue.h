// Queues of requests that wait in the host until a target has room.

#ifndef SRC_LIBS_ROUTING_TARGET_QUEUE_H_
#define SRC_LIBS_ROUTING_TARGET_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "libs/routing/fair_queue.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// Identifies a queued request.
struct QueueTicket {
  std::string service;
  std::uint64_t request = 0;

  bool operator<(const QueueTicket& other) const {
    return std::tie(service, request) < std::tie(other.service, other.request);
  }
};

// A request that left the queue, with the target to send it to, or with the
// reason why no target can take it any more.
struct DequeuedRequest {
  QueueTicket ticket;
  std::optional<TargetChoice> choice;
  Reason reason;
};

// Keeps a fair queue for each service in front of the target table, which it
// does not own. Reads no clock and is not thread-safe.
class TargetQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit TargetQueue(TargetTable& table) : table_(table) {}

  // Chooses a target if one has room and no request of the same team with the
  // same allowed domains and `excluded` targets is queued. Otherwise returns
  // nullopt and either queues the request and sets `ticket`, or rejects it.
  // Reasons: those of TargetTable::BeginAttempt().
  std::optional<TargetChoice> BeginOrEnqueue(
      const RoutingRequest& request,
      TimePoint deadline,
      TimePoint now,
      std::optional<QueueTicket>* ticket,
      Reason* reason,
      const std::set<std::string>& excluded = {});
  // Removes the requests that may start now, and those that can't be served any
  // more, and returns them. Must be called after an attempt ended and after the
  // targets changed.
  std::vector<DequeuedRequest> DequeueReady(TimePoint now);
  // Removes a request that is cancelled or past its deadline.
  void Remove(const QueueTicket& ticket);
  // Number of queued requests of each service.
  std::map<std::string, std::size_t> Sizes() const;

 private:
  // Requests of one team that may reach different targets wait in different
  // lanes of `order`, each with the team's share: the first of a lane may find
  // no room while targets that another lane may use are idle.
  struct Waiting {
    RoutingRequest request;
    std::set<std::string> excluded;
  };
  struct Queue {
    FairQueue order;
    std::map<std::uint64_t, Waiting> requests;
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
