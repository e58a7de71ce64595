// Selects the hosts that keep the stock of tokens of a failure domain. Free of
// clocks and I/O.

#ifndef SRC_LIBS_BUDGET_STOCK_HOSTS_H_
#define SRC_LIBS_BUDGET_STOCK_HOSTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libs/budget/fleet_account.h"
#include "libs/budget/lender_endpoint.h"

namespace turmericwinch {

// Maximum number of hosts that keep a stock and write the account regularly. A
// write fails if another host wrote since the read, so the share of lost writes
// grows with the number of writers.
inline constexpr std::size_t kMaxStockHosts = 12;
// Minimum number of hosts of a large failure domain that keep stocks.
inline constexpr std::size_t kMinStockHostsOfDomain = 2;
// Maximum number of hosts that a host asks before it draws from the account
// itself.
inline constexpr std::size_t kMaxDomainLenders = 3;

// In a small fleet every host keeps a stock of its own. In a large one, each
// failure domain has a few hosts that keep stocks, one of them for each budget,
// and its other hosts borrow from them.
class StockHosts {
 public:
  StockHosts() = default;
  // `holder` and its failure domain belong to this host.
  StockHosts(const FleetAccount& account,
             const std::string& holder,
             const std::string& domain);

  // Hosts of this domain that this host asks for tokens of `budget` before it
  // draws from the account, in this order. Empty if this host keeps the stock
  // itself.
  std::vector<LenderEndpoint> LendersFor(const std::string& budget) const;
  // Whether this host keeps the stock of some budgets.
  bool KeepsStock() const;
  // Number of hosts of this domain that one stock serves.
  std::size_t HostsServed() const {
    return members_.empty() ? 1 : members_.size();
  }
  // Number of hosts in all domains that keep a stock of one budget.
  int CountPerBudget() const { return count_per_budget_; }

 private:
  std::string holder_;
  // Hosts of this domain, those that keep stocks first. Empty if all hosts of
  // the domain do.
  std::vector<LenderEndpoint> members_;
  std::size_t stock_hosts_ = 1;
  int count_per_budget_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_STOCK_HOSTS_H_
