#include "libs/budget/stock_hosts.h"

#include <algorithm>
#include <map>

#include "libs/base/digest.h"
#include "libs/budget/ranked_hosts.h"

namespace turmericwinch {

StockHosts::StockHosts(const FleetAccount& account,
                       const std::string& holder,
                       const std::string& domain)
    : holder_(holder) {
  std::map<std::string, std::size_t> domain_sizes;
  for (const auto& [other, heartbeat] : account.heartbeats) {
    if (!heartbeat.address.empty() && !heartbeat.domain.empty())
      ++domain_sizes[heartbeat.domain];
  }
  if (domain_sizes.empty()) {
    count_per_budget_ = account.HostCount();
    return;
  }
  stock_hosts_ =
      std::max(kMaxStockHosts / domain_sizes.size(), kMinStockHostsOfDomain);
  for (const auto& [name, size] : domain_sizes)
    count_per_budget_ += size <= stock_hosts_ ? static_cast<int>(size) : 1;
  if (domain.empty() || domain_sizes[domain] <= stock_hosts_)
    return;
  for (RankedHost& it : RankHosts(account, domain))
    members_.push_back({std::move(it.holder), std::move(it.address)});
}

bool StockHosts::KeepsStock() const {
  const auto end = members_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                          stock_hosts_, members_.size()));
  return members_.empty() ||
         std::any_of(members_.begin(), end, [this](const LenderEndpoint& it) {
           return it.holder == holder_;
         });
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
