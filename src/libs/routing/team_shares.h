// What each team has in flight at one service, against its share.

#ifndef SRC_LIBS_ROUTING_TEAM_SHARES_H_
#define SRC_LIBS_ROUTING_TEAM_SHARES_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace turmericwinch {

// A team is active while it has requests in flight and for kTeamActive after
// it was seen last. Free of clocks.
class TeamShares {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // A request of the team came.
  void Seen(const std::string& team, int share, TimePoint now);
  void Begin(const std::string& team);
  void End(const std::string& team);

  // Whether another team is active.
  bool HasOthers(const std::string& team) const;
  // Whether the team has all of its part of `slots` in flight; at least one
  // request is within any share.
  bool IsOver(const std::string& team, double slots) const;
  // Of all teams.
  std::int64_t in_flight() const { return in_flight_; }

 private:
  struct Team {
    std::string name;
    int share = 1;
    std::int64_t in_flight = 0;
    TimePoint seen;
  };

  // Last seen at the end.
  std::list<Team> order_;
  std::unordered_map<std::string, std::list<Team>::iterator> teams_;
  std::int64_t shares_ = 0;
  std::int64_t in_flight_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TEAM_SHARES_H_
