#include "libs/budget/domain_shard.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"
#include "libs/budget/budget_account.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

// A fourth counter follows only where there is one.
constexpr std::size_t kRowItems = 3;

json::object ToObject(const ShardBudget& budget) {
  json::object holders;
  for (const auto& [name, it] : budget.holders) {
    json::array row{it.granted, it.settled, it.given_back};
    if (it.unlisted > 0)
      row.emplace_back(it.unlisted);
    holders[name] = std::move(row);
  }
  return {{"returned", budget.returned},
          {"settled_retired", budget.settled_retired},
          {"holders", holders}};
}

std::optional<HolderCounters> CountersOf(const json::value& value) {
  const json::array* items = value.if_array();
  if (!items || (items->size() != kRowItems && items->size() != kRowItems + 1))
    return std::nullopt;
  for (const json::value& it : *items) {
    if (!it.is_int64() || it.get_int64() < 0)
      return std::nullopt;
  }
  return HolderCounters{
      (*items)[0].get_int64(), (*items)[1].get_int64(), (*items)[2].get_int64(),
      items->size() > kRowItems ? (*items)[kRowItems].get_int64() : 0};
}

std::optional<ShardBudget> ShardBudgetOf(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  std::optional<std::int64_t> returned = IntField(*object, "returned");
  std::optional<std::int64_t> retired = IntField(*object, "settled_retired");
  const json::object* holders = ObjectField(*object, "holders");
  if (!returned || !retired || !holders)
    return std::nullopt;
  ShardBudget budget{*returned, *retired, {}};
  for (const auto& it : *holders) {
    std::optional<HolderCounters> counters = CountersOf(it.value());
    if (!counters)
      return std::nullopt;
    budget.holders.emplace(it.key(), *counters);
  }
  return budget;
}

// No budget can have this name. Hosts and tools that know no lending take it
// for a malformed budget and leave the bucket alone.
constexpr char kBorrowersField[] = "/borrowers";

json::object BorrowersToObject(const DomainShard& shard) {
  json::object object;
  for (const auto& [lender, borrowers] : shard.borrowers) {
    json::array names;
    for (const std::string& it : borrowers)
      names.emplace_back(it);
    object[lender] = std::move(names);
  }
  return object;
}

bool ReadBorrowers(const json::value& value, DomainShard& shard) {
  const json::object* object = value.if_object();
  if (!object)
    return false;
  for (const auto& it : *object) {
    const json::array* names = it.value().if_array();
    if (!names)
      return false;
    std::set<std::string>& borrowers = shard.borrowers[it.key()];
    for (const json::value& name : *names) {
      if (!name.is_string())
        return false;
      borrowers.emplace(name.get_string());
    }
  }
  return true;
}

}  // namespace

bool DomainShard::HasHolder(const std::string& holder) const {
  if (borrowers.contains(holder))
    return true;
  return std::any_of(budgets.begin(), budgets.end(), [&](const auto& it) {
    return it.second.holders.contains(holder);
  });
}

std::int64_t ShardBudget::Spent() const {
  std::int64_t spent = settled_retired;
  for (const auto& [name, it] : holders)
    spent += it.settled;
  return spent;
}

std::int64_t ShardBudget::Outstanding() const {
  std::int64_t outstanding = 0;
  for (const auto& [name, it] : holders)
    outstanding += it.Outstanding();
  return outstanding;
}

std::int64_t ShardBudget::Free(std::int64_t allocated) const {
  return allocated - returned - Spent() - Outstanding();
}

std::string ToJson(const DomainShard& shard) {
  json::object object;
  for (const auto& [name, budget] : shard.budgets)
    object[name] = ToObject(budget);
  if (!shard.borrowers.empty())
    object[kBorrowersField] = BorrowersToObject(shard);
  return json::serialize(object);
}

std::optional<DomainShard> ParseDomainShard(std::string_view text,
                                            Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  if (!object) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "a budget shard object is not a JSON object");
  }
  DomainShard shard;
  for (const auto& it : *object) {
    if (it.key() == kBorrowersField) {
      if (!ReadBorrowers(it.value(), shard)) {
        return Fail(reason, ResultCode::kPlatformRejected,
                    "the borrowers of a budget shard are malformed");
      }
      continue;
    }
    std::optional<ShardBudget> budget = ShardBudgetOf(it.value());
    if (!budget) {
      return Fail(
          reason, ResultCode::kPlatformRejected,
          "the shard of budget " + std::string(it.key()) + " is malformed");
    }
    shard.budgets.emplace(it.key(), std::move(*budget));
  }
  return shard;
}

HolderCounters MergeHolder(ShardBudget& budget,
                           const std::string& holder,
                           const HolderCounters& counters,
                           std::int64_t allocated) {
  const std::int64_t free = std::max<std::int64_t>(budget.Free(allocated), 0);
  HolderCounters& row = budget.holders[holder];
  const std::int64_t rise =
      std::max<std::int64_t>(counters.granted - row.granted, 0);
  row.granted += std::min(rise, free);
  row.settled = std::max(row.settled, std::min(counters.settled, row.granted));
  row.given_back = std::max(
      row.given_back, std::min(counters.given_back, row.granted - row.settled));
  row.unlisted = std::max(row.unlisted, counters.unlisted);
  return row;
}

void MergeSettled(ShardBudget& budget,
                  const std::string& holder,
                  std::int64_t settled_total) {
  auto it = budget.holders.find(holder);
  if (it == budget.holders.end())
    return;
  HolderCounters& row = it->second;
  row.settled = std::max(row.settled,
                         std::min(settled_total, row.granted - row.given_back));
}

void CloseHolder(ShardBudget& budget, const std::string& holder) {
  auto it = budget.holders.find(holder);
  if (it == budget.holders.end())
    return;
  budget.settled_retired =
      AddSaturated(budget.settled_retired, it->second.settled);
  budget.holders.erase(it);
}

void CloseHolder(DomainShard& shard, const std::string& holder) {
  for (auto& [name, budget] : shard.budgets)
    CloseHolder(budget, holder);
  shard.borrowers.erase(holder);
}

}  // namespace turmericwinch
