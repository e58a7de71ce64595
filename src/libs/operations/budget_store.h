// Reads budgets from the platform's store and tops them up.

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

// One budget: its account and its share in each failure domain that has an
// allocation. `borrowers` lists, by domain and lender, the holders that may
// have borrowed in the budget's bucket.
struct BudgetState {
  BudgetAccount account;
  std::map<std::string, ShardBudget> domains;
  std::map<std::string, std::map<std::string, std::set<std::string>>> borrowers;
  std::map<std::string, EndedHolders> ended_holders;

  std::int64_t Spent() const;
  // Tokens granted to holders and neither spent nor given back.
  std::int64_t Outstanding() const;
  // Whether the holder is recorded as ended in the domain.
  bool HasEnded(const std::string& domain, const std::string& holder) const;
  // Borrowers of the holder that have neither ended nor acknowledged its end;
  // they keep its row open.
  std::set<std::string> OpenBorrowers(const std::string& domain,
                                      const std::string& holder) const;
};

// Reads `budget`. Returns an empty state if the budget has no account yet.
boost::asio::awaitable<std::optional<BudgetState>>
FetchBudget(PlatformClient& platform, std::string budget, Reason* reason);

// Adds `tokens` to the top-ups of `budget`, once for each `id`. Returns the new
// total of the top-ups.
boost::asio::awaitable<std::optional<std::int64_t>> TopUpBudget(
    PlatformClient& platform,
    std::string budget,
    std::int64_t tokens,
    std::string id,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_STORE_H_
