// Reads and tops up budgets in the platform.

#ifndef SRC_LIBS_OPERATIONS_BUDGET_STORE_H_
#define SRC_LIBS_OPERATIONS_BUDGET_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "libs/budget/budget_account.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/ended_holders.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// One budget: its account and its part in each domain that drew on it; by
// domain also who may have borrowed from whom in its bucket, and which holders
// have ended.
struct BudgetState {
  BudgetAccount account;
  std::map<std::string, ShardBudget> domains;
  std::map<std::string, std::map<std::string, std::set<std::string>>> borrowers;
  std::map<std::string, EndedHolders> ends;

  std::int64_t Spent() const;
  // Tokens held by hosts: granted, and neither spent nor given back.
  std::int64_t Outstanding() const;
  // Whether the holder has ended, and the borrowers its row waits for.
  bool HasEnded(const std::string& domain, const std::string& holder) const;
  std::set<std::string> WaitsFor(const std::string& domain,
                                 const std::string& holder) const;
};

// Reads `budget`; an empty state if nothing was drawn yet.
boost::asio::awaitable<std::optional<BudgetState>>
FetchBudget(PlatformClient& platform, std::string budget, Reason* reason);

// Adds `tokens` to what was paid, once for each `id`. Answers the new total.
boost::asio::awaitable<std::optional<std::int64_t>> TopUpBudget(
    PlatformClient& platform,
    std::string budget,
    std::int64_t tokens,
    std::string id,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_STORE_H_
