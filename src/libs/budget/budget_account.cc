#include "libs/budget/budget_account.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/base/parse_number.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

json::object ToObject(const BudgetAccount& account) {
  json::object domains;
  for (const auto& [name, it] : account.domains)
    domains[name] = json::array{it.allocated, it.returned};
  json::array ids;
  for (const std::string& it : account.top_up_ids)
    ids.push_back(json::value(it));
  return {{"declared", account.declared},
          {"generation", account.declared_generation},
          {"topped_up", account.topped_up},
          {"top_ups", ids},
          {"domains", domains}};
}

std::optional<DomainAllocation> ParseAllocation(const json::value& value) {
  const json::array* pair = value.if_array();
  if (!pair || pair->size() != 2 || !(*pair)[0].is_int64() ||
      !(*pair)[1].is_int64())
    return std::nullopt;
  return DomainAllocation{(*pair)[0].get_int64(), (*pair)[1].get_int64()};
}

std::optional<BudgetAccount> ParseAccount(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  std::optional<std::int64_t> declared = IntField(*object, "declared");
  std::optional<std::int64_t> generation = IntField(*object, "generation");
  std::optional<std::int64_t> topped_up = IntField(*object, "topped_up");
  const json::object* domains = ObjectField(*object, "domains");
  const json::array* ids = ArrayField(*object, "top_ups");
  if (!declared || !generation || !topped_up || !domains || !ids)
    return std::nullopt;
  BudgetAccount account;
  account.declared = *declared;
  account.declared_generation = static_cast<std::uint64_t>(*generation);
  account.topped_up = *topped_up;
  for (const json::value& it : *ids) {
    if (it.is_string())
      account.top_up_ids.emplace_back(it.get_string());
  }
  for (const auto& it : *domains) {
    std::optional<DomainAllocation> allocation = ParseAllocation(it.value());
    if (!allocation)
      return std::nullopt;
    account.domains[it.key()] = *allocation;
  }
  return account;
}

}  // namespace

std::int64_t AddSaturated(std::int64_t left, std::int64_t right) {
  std::int64_t sum = 0;
  if (!__builtin_add_overflow(left, right, &sum))
    return sum;
  return left > 0 ? std::numeric_limits<std::int64_t>::max()
                  : std::numeric_limits<std::int64_t>::min();
}

std::int64_t BudgetAccount::Paid() const {
  return AddSaturated(declared, topped_up);
}

std::int64_t BudgetAccount::Free() const {
  std::int64_t free = Paid();
  for (const auto& [name, it] : domains)
    free = AddSaturated(free, it.returned - it.allocated);
  return free;
}

std::string ToJson(const AccountBucket& bucket) {
  json::object object;
  for (const auto& [name, account] : bucket.budgets)
    object[name] = ToObject(account);
  return json::serialize(object);
}

std::optional<AccountBucket> ParseAccountBucket(std::string_view text,
                                                Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  if (!object) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "a budget account object is not a JSON object");
  }
  AccountBucket bucket;
  for (const auto& it : *object) {
    std::optional<BudgetAccount> account = ParseAccount(it.value());
    if (!account) {
      return Fail(
          reason, ResultCode::kPlatformRejected,
          "the account of budget " + std::string(it.key()) + " is malformed");
    }
    bucket.budgets.emplace(it.key(), std::move(*account));
  }
  return bucket;
}

bool SetDeclared(BudgetAccount& account,
                 std::int64_t tokens,
                 std::uint64_t generation) {
  if (generation <= account.declared_generation)
    return false;
  account.declared_generation = generation;
  account.declared = std::max<std::int64_t>(tokens, 0);
  return true;
}

bool TopUp(BudgetAccount& account, std::int64_t tokens, const std::string& id) {
  std::vector<std::string>& ids = account.top_up_ids;
  if (tokens < 0 || std::find(ids.begin(), ids.end(), id) != ids.end())
    return false;
  std::int64_t sum = 0;
  if (__builtin_add_overflow(account.topped_up, tokens, &sum))
    return false;
  account.topped_up = sum;
  ids.push_back(id);
  if (ids.size() > kMaxTopUpIds)
    ids.erase(ids.begin());
  return true;
}

std::int64_t Allocate(BudgetAccount& account,
                      const std::string& domain,
                      std::int64_t wanted) {
  DomainAllocation& allocation = account.domains[domain];
  std::int64_t tokens = std::clamp<std::int64_t>(
      wanted, 0, std::max<std::int64_t>(account.Free(), 0));
  const std::int64_t room =
      std::numeric_limits<std::int64_t>::max() - allocation.allocated;
  tokens = std::min(tokens, room);
  allocation.allocated += tokens;
  return tokens;
}

void RecordReturned(BudgetAccount& account,
                    const std::string& domain,
                    std::int64_t returned_total) {
  DomainAllocation& allocation = account.domains[domain];
  allocation.returned = std::max(
      allocation.returned, std::min(returned_total, allocation.allocated));
}

std::uint64_t BucketOf(std::string_view budget) {
  return Hash64(budget) % kBudgetBucketCount;
}

bool IsBucketNumber(std::string_view text) {
  const auto bucket = ParseNumber<std::uint64_t>(text);
  return bucket && *bucket < kBudgetBucketCount &&
         std::to_string(*bucket) == text;
}

std::string AccountObjectName(std::uint64_t bucket) {
  return kAccountPrefix + std::to_string(bucket);
}

std::string ShardObjectName(std::string_view domain, std::uint64_t bucket) {
  return kShardPrefix + std::string(domain) + "-" + std::to_string(bucket);
}

}  // namespace turmericwinch
