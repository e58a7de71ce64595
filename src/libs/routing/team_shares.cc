#include "libs/routing/team_shares.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void TeamShares::RecordRequest(const std::string& team,
                               int share,
                               TimePoint now) {
  auto it = teams_.find(team);
  if (it == teams_.end()) {
    order_.push_back({team, 0, 0, now});
    it = teams_.emplace(team, std::prev(order_.end())).first;
  }
  total_shares_ += std::max(share, 1) - it->second->share;
  it->second->share = std::max(share, 1);
  it->second->last_request = now;
  order_.splice(order_.end(), order_, it->second);
  while (order_.front().last_request + kTeamActiveTime < now) {
    Team& oldest = order_.front();
    if (oldest.in_flight > 0) {
      oldest.last_request = now;
      order_.splice(order_.end(), order_, order_.begin());
      continue;
    }
    total_shares_ -= oldest.share;
    teams_.erase(oldest.name);
    order_.pop_front();
  }
}

void TeamShares::BeginRequest(const std::string& team) {
  auto it = teams_.find(team);
  if (it == teams_.end())
    return;
  ++it->second->in_flight;
  ++in_flight_;
}

void TeamShares::EndRequest(const std::string& team) {
  auto it = teams_.find(team);
  if (it == teams_.end() || it->second->in_flight == 0)
    return;
  --it->second->in_flight;
  --in_flight_;
}

bool TeamShares::HasOtherActive(const std::string& team) const {
  return order_.size() > (teams_.contains(team) ? 1U : 0U);
}

bool TeamShares::IsOverShare(const std::string& team, double slots) const {
  auto it = teams_.find(team);
  if (it == teams_.end() || it->second->in_flight < 1)
    return false;
  const double allowed =
      slots * it->second->share / static_cast<double>(total_shares_);
  return static_cast<double>(it->second->in_flight) >= allowed;
}

}  // namespace turmericwinch
