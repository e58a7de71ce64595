// Fair queue of the requests of one service that wait for a target.

#ifndef SRC_LIBS_ROUTING_FAIR_QUEUE_H_
#define SRC_LIBS_ROUTING_FAIR_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "libs/base/reason.h"

namespace turmericwinch {

// Deficit round robin over teams: each round, a team may start requests with up
// to kQuantumTokens prompt tokens times its share. Bounded per team and in
// total. Reads no clock and is not thread-safe.
class FairQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Queues a request of `tokens` prompt tokens and returns its id. Reason:
  // kOverloaded if the queue is full or the expected wait ends after
  // `deadline`.
  std::optional<std::uint64_t> Enqueue(const std::string& team,
                                       int share,
                                       std::int64_t tokens,
                                       TimePoint deadline,
                                       TimePoint now,
                                       Reason* reason);
  // The next request to start among teams that are not in `blocked`; nullopt if
  // there is none. Stays the same until the queue changes.
  std::optional<std::uint64_t> Front(const std::set<std::string>& blocked = {});
  // Whether the queue has a request of the team.
  bool HasWaiting(const std::string& team) const;
  // Removes a request that was sent to a target at `now`.
  void RemoveStarted(std::uint64_t request, TimePoint now);
  // Removes a request that is cancelled or past its deadline.
  void Remove(std::uint64_t request);

  std::size_t size() const { return team_by_request_.size(); }
  // Expected wait of one more request of a team with `share`.
  std::chrono::duration<double> ExpectedWait(const std::string& team,
                                             int share) const;

 private:
  struct Entry {
    std::uint64_t request;
    double tokens;
  };
  struct Team {
    std::string name;
    int share = 1;
    double deficit = 0;
    std::deque<Entry> waiting;
  };

  std::list<Team>::iterator FindTeam(const std::string& team);

  // Teams with queued requests, in round-robin order.
  std::list<Team> teams_;
  std::map<std::uint64_t, std::string> team_by_request_;
  std::uint64_t next_id_ = 1;
  // Moving average of the time between starts while requests wait.
  double start_interval_seconds_ = 0;
  std::optional<TimePoint> last_start_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_FAIR_QUEUE_H_
