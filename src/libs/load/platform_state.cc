#include "libs/load/platform_state.h"

#include <boost/asio.hpp>
#include <iterator>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr PlatformDuty kDuty = PlatformDuty::kOperator;

bool AddBills(PlatformState& state,
              const std::vector<PlatformObject>& objects,
              Reason* reason) {
  for (const PlatformObject& it : objects) {
    std::optional<std::vector<Bill>> bills = ParseBills(it.value, reason);
    if (!bills)
      return false;
    std::move(bills->begin(), bills->end(), std::back_inserter(state.bills));
  }
  return true;
}

bool AddAccounts(PlatformState& state,
                 const std::vector<PlatformObject>& objects,
                 Reason* reason) {
  for (const PlatformObject& it : objects) {
    std::optional<AccountBucket> bucket = ParseAccountBucket(it.value, reason);
    if (!bucket)
      return false;
    for (const auto& [name, account] : bucket->budgets)
      state.budgets[name].paid = account.Paid();
  }
  return true;
}

bool AddShards(PlatformState& state,
               const std::vector<PlatformObject>& objects,
               Reason* reason) {
  for (const PlatformObject& it : objects) {
    std::optional<DomainShard> shard = ParseDomainShard(it.value, reason);
    if (!shard)
      return false;
    for (const auto& [name, part] : shard->budgets) {
      BudgetTotals& totals = state.budgets[name];
      totals.spent += part.Spent();
      for (const auto& [holder, counters] : part.holders)
        totals.outstanding[holder] += counters.Outstanding();
    }
  }
  return true;
}

}  // namespace

asio::awaitable<std::optional<PlatformState>> FetchPlatformState(
    PlatformClient& platform,
    Reason* reason) {
  auto bills = co_await platform.List(kDuty, kBillPrefix, reason);
  if (!bills)
    co_return std::nullopt;
  auto accounts = co_await platform.List(kDuty, kAccountPrefix, reason);
  if (!accounts)
    co_return std::nullopt;
  auto shards = co_await platform.List(kDuty, kShardPrefix, reason);
  if (!shards)
    co_return std::nullopt;
  PlatformState state;
  if (!AddBills(state, *bills, reason) ||
      !AddAccounts(state, *accounts, reason) ||
      !AddShards(state, *shards, reason))
    co_return std::nullopt;
  co_return state;
}

}  // namespace turmericwinch
