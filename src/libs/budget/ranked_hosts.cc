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
  std::string address;
  std::tuple<bool, std::uint64_t> first{true, 0};
  for (const auto& [other, heartbeat] : account.heartbeats) {
    if (other == holder || heartbeat.address.empty())
      continue;
    const std::tuple<bool, std::uint64_t> order{heartbeat.domain != domain,
                                                Hash64(other)};
    if (address.empty() || order < first) {
      address = heartbeat.address;
      first = order;
    }
  }
  return address;
}

}  // namespace turmericwinch
