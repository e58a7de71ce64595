#include "libs/operations/budget_store.h"

#include <algorithm>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kMaxTopUpAttempts = 20;

bool NeedsReread(ResultCode code) {
  return IsWriteConflict(code) || code == ResultCode::kPlatformUnknown;
}

}  // namespace

std::int64_t BudgetState::Spent() const {
  std::int64_t spent = 0;
  for (const auto& [name, it] : domains)
    spent = AddSaturated(spent, it.Spent());
  return spent;
}

std::int64_t BudgetState::Outstanding() const {
  std::int64_t outstanding = 0;
  for (const auto& [name, it] : domains)
    outstanding = AddSaturated(outstanding, it.Outstanding());
  return outstanding;
}

bool BudgetState::HasEnded(const std::string& domain,
                           const std::string& holder) const {
  auto it = ended_holders.find(domain);
  return it != ended_holders.end() && it->second.ended.contains(holder);
}

std::set<std::string> BudgetState::OpenBorrowers(
    const std::string& domain,
    const std::string& holder) const {
  auto it = ended_holders.find(domain);
  auto lists = borrowers.find(domain);
  if (it == ended_holders.end() || lists == borrowers.end())
    return {};
  auto list = lists->second.find(holder);
  return list == lists->second.end()
             ? std::set<std::string>()
             : it->second.OpenBorrowers(holder, list->second);
}

asio::awaitable<std::optional<BudgetState>>
FetchBudget(PlatformClient& platform, std::string budget, Reason* reason) {
  BudgetState state;
  const std::uint64_t bucket = BucketOf(budget);
  std::optional<PlatformObject> object = co_await platform.Get(
      PlatformDuty::kOperator, AccountObjectName(bucket), reason);
  if (!object && reason->code == ResultCode::kPlatformNotFound)
    co_return state;
  if (!object)
    co_return std::nullopt;
  std::optional<AccountBucket> accounts =
      ParseAccountBucket(object->value, reason);
  if (!accounts)
    co_return std::nullopt;
  auto account = accounts->budgets.find(budget);
  if (account == accounts->budgets.end())
    co_return state;
  state.account = account->second;
  for (const auto& [domain, allocation] : state.account.domains) {
    object = co_await platform.Get(PlatformDuty::kOperator,
                                   ShardObjectName(domain, bucket), reason);
    if (!object)
      co_return std::nullopt;
    std::optional<DomainShard> shard = ParseDomainShard(object->value, reason);
    if (!shard)
      co_return std::nullopt;
    state.domains[domain] = shard->budgets[budget];
    state.borrowers[domain] = std::move(shard->borrowers);
    object = co_await platform.Get(PlatformDuty::kOperator,
                                   EndedHoldersObjectName(domain), reason);
    if (!object && reason->code == ResultCode::kPlatformNotFound)
      continue;
    if (!object)
      co_return std::nullopt;
    std::optional<EndedHolders> ended =
        ParseEndedHolders(object->value, reason);
    if (!ended)
      co_return std::nullopt;
    state.ended_holders[domain] = std::move(*ended);
  }
  co_return state;
}

asio::awaitable<std::optional<std::int64_t>> TopUpBudget(
    PlatformClient& platform,
    std::string budget,
    std::int64_t tokens,
    std::string id,
    Reason* reason) {
  const std::string name = AccountObjectName(BucketOf(budget));
  for (int n = 0; n < kMaxTopUpAttempts; ++n) {
    std::optional<PlatformObject> object =
        co_await platform.Get(PlatformDuty::kOperator, name, reason);
    const bool absent =
        !object && reason->code == ResultCode::kPlatformNotFound;
    if (!object && !absent)
      co_return std::nullopt;
    std::optional<AccountBucket> accounts =
        absent ? AccountBucket{} : ParseAccountBucket(object->value, reason);
    if (!accounts)
      co_return std::nullopt;
    BudgetAccount& account = accounts->budgets[budget];
    const auto& ids = account.top_up_ids;
    if (std::find(ids.begin(), ids.end(), id) != ids.end())
      co_return account.topped_up;
    if (!TopUp(account, tokens, id)) {
      co_return Fail(reason, ResultCode::kBadRequest,
                     "a top-up of " + std::to_string(tokens) +
                         " tokens is negative or too large");
    }
    const std::int64_t total = account.topped_up;
    std::optional<StoreVersion> version;
    if (absent) {
      version = co_await platform.Create(PlatformDuty::kOperator, name,
                                         ToJson(*accounts), reason);
    } else {
      object->value = ToJson(*accounts);
      version =
          co_await platform.Update(PlatformDuty::kOperator, *object, reason);
    }
    if (version)
      co_return total;
    if (!NeedsReread(reason->code))
      co_return std::nullopt;
  }
  co_return std::nullopt;
}

}  // namespace turmericwinch
