// Requests that each team has in flight at one service, compared with the
// team's share.

#ifndef SRC_LIBS_ROUTING_TEAM_SHARES_H_
#define SRC_LIBS_ROUTING_TEAM_SHARES_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace turmericwinch {

// A team is active while it has requests in flight and for kTeamActiveTime
// after its last request. Reads no clock.
class TeamShares {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Records that a request of the team arrived.
  void RecordRequest(const std::string& team, int share, TimePoint now);
  void BeginRequest(const std::string& team);
  void EndRequest(const std::string& team);

  // Whether another team is active.
  bool HasOtherActive(const std::string& team) const;
  // Whether the team has its share of `slots` in flight. The share is at least
  // one request.
  bool IsOverShare(const std::string& team, double slots) const;
  // Requests in flight of all teams.
  std::int64_t in_flight() const { return in_flight_; }

 private:
  struct Team {
    std::string name;
    int share = 1;
    std::int64_t in_flight = 0;
    TimePoint last_request;
  };

  // Ordered by the last request, the most recent at the end.
  std::list<Team> order_;
  std::unordered_map<std::string, std::list<Team>::iterator> teams_;
  std::int64_t total_shares_ = 0;
  std::int64_t in_flight_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TEAM_SHARES_H_
