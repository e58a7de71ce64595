// Requests of one service that wait for a target, in fair order by team.

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

// Deficit round robin: teams take turns, and in a turn a team starts requests
// up to its share of prompt tokens. Bounded for each team and in all. Free of
// clocks and not safe for use by several threads.
class FairQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Lets a request of `tokens` wait; answers its number. Reason: kOverloaded
  // if the queue is full or the wait would pass `deadline`.
  std::optional<std::uint64_t> Add(const std::string& team,
                                   int share,
                                   std::int64_t tokens,
                                   TimePoint deadline,
                                   TimePoint now,
                                   Reason* reason);
  // The request whose turn it is, of teams that are not in `blocked`; nothing
  // if none waits. The same until it is removed or another is added or removed.
  std::optional<std::uint64_t> Front(const std::set<std::string>& blocked = {});
  // Whether a request of the team waits.
  bool Waits(const std::string& team) const;
  // Takes out a request that started at `now`.
  void Start(std::uint64_t request, TimePoint now);
  // Takes out a request that gave up.
  void Remove(std::uint64_t request);

  std::size_t size() const { return team_of_.size(); }
  // Expected wait of one more request of a team of `share`.
  std::chrono::duration<double> ExpectedWait(const std::string& team,
                                             int share) const;

 private:
  struct Waiting {
    std::uint64_t request;
    double tokens;
  };
  struct Team {
    std::string name;
    int share = 1;
    double deficit = 0;
    std::deque<Waiting> waiting;
  };

  std::list<Team>::iterator Find(const std::string& team);

  // Teams with waiting requests; the first one's turn it is.
  std::list<Team> teams_;
  std::map<std::uint64_t, std::string> team_of_;
  std::uint64_t next_ = 1;
  // Seconds between starts while requests wait.
  double start_interval_ = 0;
  std::optional<TimePoint> last_start_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_FAIR_QUEUE_H_
