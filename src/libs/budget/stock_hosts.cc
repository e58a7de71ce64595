#include "libs/budget/stock_hosts.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "libs/base/digest.h"

namespace turmericwinch {

StockHosts::StockHosts(const FleetAccount& account,
                       const std::string& holder,
                       const std::string& domain)
    : holder_(holder) {
  std::map<std::string, std::size_t> domain_sizes;
  std::vector<std::tuple<std::uint64_t, std::string, std::string>> ranked;
  for (const auto& [other, heartbeat] : account.heartbeats) {
    if (heartbeat.address.empty() || heartbeat.domain.empty())
      continue;
    ++domain_sizes[heartbeat.domain];
    // The rank of a host must not change when its process restarts.
    if (heartbeat.domain == domain)
      ranked.emplace_back(Hash64(HostOfHolder(other)), other,
                          heartbeat.address);
  }
  if (domain_sizes.empty()) {
    count_per_budget_ = account.HostCount();
    return;
  }
  stock_hosts_ = std::max<std::size_t>(kMaxStockHosts / domain_sizes.size(), 1);
  for (const auto& [name, size] : domain_sizes)
    count_per_budget_ += size <= stock_hosts_ ? static_cast<int>(size) : 1;
  if (ranked.size() <= stock_hosts_)
    return;
  std::sort(ranked.begin(), ranked.end());
  for (const auto& [rank, other, address] : ranked)
    members_.push_back({other, address});
}

std::vector<LenderEndpoint> StockHosts::LendersFor(
    const std::string& budget) const {
  std::vector<LenderEndpoint> lenders;
  if (members_.empty())
    return lenders;
  std::vector<LenderEndpoint> order = members_;
  const auto first = static_cast<std::ptrdiff_t>(Hash64(budget) % stock_hosts_);
  std::rotate(order.begin(), order.begin() + first,
              order.begin() + static_cast<std::ptrdiff_t>(stock_hosts_));
  for (LenderEndpoint& it : order) {
    if (it.holder == holder_ || lenders.size() == kMaxDomainLenders)
      break;
    lenders.push_back(std::move(it));
  }
  return lenders;
}

}  // namespace turmericwinch
