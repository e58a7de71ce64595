#include "libs/budget/ranked_hosts.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>

#include "libs/base/digest.h"

namespace turmericwinch {

std::vector<RankedHost> RankHosts(const FleetAccount& account,
                                  const std::string& domain) {
  using Entry = std::tuple<std::int64_t, std::uint64_t, std::string>;
  std::vector<Entry> order;
  for (const auto& [holder, heartbeat] : account.heartbeats) {
    if (!heartbeat.address.empty() && heartbeat.domain == domain)
      order.emplace_back(-heartbeat.link_mbps, Hash64(HostOfHolder(holder)),
                         holder);
  }
  std::sort(order.begin(), order.end());
  std::vector<RankedHost> hosts;
  for (const auto& [link, hash, holder] : order) {
    hosts.push_back({std::string(HostOfHolder(holder)), holder,
                     account.heartbeats.at(holder).address});
  }
  return hosts;
}

std::vector<std::string> HostNames(const FleetAccount& account) {
  std::set<std::string> names;
  for (const auto& [holder, heartbeat] : account.heartbeats)
    names.emplace(HostOfHolder(holder));
  return {names.begin(), names.end()};
}

std::string FindIntroducer(const FleetAccount& account,
                           const std::string& holder,
                           const std::string& domain) {
  const std::string_view host = HostOfHolder(holder);
  // Other hosts, those of the domain and with the widest links first.
  std::vector<std::tuple<bool, std::int64_t, std::uint64_t, std::string>> order;
  for (const auto& [other, heartbeat] : account.heartbeats) {
    if (HostOfHolder(other) != host && !heartbeat.address.empty()) {
      order.emplace_back(heartbeat.domain != domain, -heartbeat.link_mbps,
                         Hash64(HostOfHolder(other)), heartbeat.address);
    }
  }
  if (order.empty())
    return "";
  std::sort(order.begin(), order.end());
  std::size_t candidates = 1;
  while (candidates < std::min(order.size(), kIntroducersOfDomain) &&
         std::get<0>(order[candidates]) == std::get<0>(order.front()))
    ++candidates;
  return std::get<3>(order[Hash64(host) % candidates]);
}

}  // namespace turmericwinch
