#include "libs/routing/team_shares.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

void TeamShares::Seen(const std::string& team, int share, TimePoint now) {
  auto it = teams_.find(team);
  if (it == teams_.end()) {
    order_.push_back({team, 0, 0, now});
    it = teams_.emplace(team, std::prev(order_.end())).first;
  }
  shares_ += std::max(share, 1) - it->second->share;
  it->second->share = std::max(share, 1);
  it->second->seen = now;
  order_.splice(order_.end(), order_, it->second);
  while (order_.front().seen + kTeamActive < now) {
    Team& oldest = order_.front();
    if (oldest.in_flight > 0) {
      oldest.seen = now;
      order_.splice(order_.end(), order_, order_.begin());
      continue;
    }
    shares_ -= oldest.share;
    teams_.erase(oldest.name);
    order_.pop_front();
  }
}

void TeamShares::Begin(const std::string& team) {
  auto it = teams_.find(team);
  if (it == teams_.end())
    return;
  ++it->second->in_flight;
  ++in_flight_;
}

void TeamShares::End(const std::string& team) {
  auto it = teams_.find(team);
  if (it == teams_.end() || it->second->in_flight == 0)
    return;
  --it->second->in_flight;
  --in_flight_;
}

bool TeamShares::HasOthers(const std::string& team) const {
  return order_.size() > (teams_.contains(team) ? 1U : 0U);
}

bool TeamShares::IsOver(const std::string& team, double slots) const {
  auto it = teams_.find(team);
  if (it == teams_.end() || it->second->in_flight < 1)
    return false;
  const double part = slots * it->second->share / static_cast<double>(shares_);
  return static_cast<double>(it->second->in_flight) >= part;
}

}  // namespace turmericwinch
