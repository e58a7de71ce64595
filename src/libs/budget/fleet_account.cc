#include "libs/budget/fleet_account.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <vector>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

std::string_view HostOf(std::string_view holder) {
  return holder.substr(0, holder.rfind('_'));
}

std::optional<FleetRow> RowOf(const json::value& value) {
  const json::array* figures = value.if_array();
  if (!figures || figures->size() != 3)
    return std::nullopt;
  for (const json::value& it : *figures) {
    if (!it.is_int64())
      return std::nullopt;
  }
  return FleetRow{(*figures)[0].as_int64(), (*figures)[1].as_int64(),
                  (*figures)[2].as_int64()};
}

std::optional<FleetBudget> BudgetOf(const json::value& value) {
  const json::object* object = value.if_object();
  const json::object* rows = object ? ObjectField(*object, "rows") : nullptr;
  const std::optional<std::int64_t> closed =
      object ? IntField(*object, "closed") : std::nullopt;
  if (!rows || !closed)
    return std::nullopt;
  FleetBudget budget;
  budget.closed = *closed;
  for (const auto& it : *rows) {
    std::optional<FleetRow> row = RowOf(it.value());
    if (!row)
      return std::nullopt;
    budget.rows.emplace(it.key(), *row);
  }
  return budget;
}

std::optional<BootMark> MarkOf(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  const std::optional<std::string> boot_id = StringField(*object, "boot_id");
  const std::optional<std::int64_t> ms = IntField(*object, "ms");
  if (!boot_id || !ms)
    return std::nullopt;
  return BootMark{*boot_id, BootTime(*ms),
                  StringField(*object, "address").value_or("")};
}

// Whether a holder with the last mark `then` can have spent no more than it
// opened, seen at `now` from its host's next process.
bool WasInTouch(const BootMark& then, const BootMark& now) {
  return !then.boot_id.empty() && then.boot_id == now.boot_id &&
         now.time >= then.time && now.time - then.time <= kUndeclaredAfter;
}

}  // namespace

std::int64_t FleetBudget::Free(std::int64_t paid) const {
  std::int64_t free = paid - closed;
  for (const auto& [holder, row] : rows)
    free -= row.Held();
  return free;
}

std::int64_t FleetBudget::Spent() const {
  std::int64_t spent = closed;
  for (const auto& [holder, row] : rows)
    spent += row.opened;
  return spent;
}

int FleetAccount::Hosts() const {
  std::set<std::string_view> hosts;
  for (const auto& [holder, mark] : marks)
    hosts.insert(HostOf(holder));
  return static_cast<int>(hosts.size());
}

std::string ToJson(const FleetAccount& account) {
  json::object budgets;
  for (const auto& [name, budget] : account.budgets) {
    json::object rows;
    for (const auto& [holder, row] : budget.rows)
      rows[holder] = json::array{row.granted, row.given_back, row.opened};
    budgets[name] = {{"closed", budget.closed}, {"rows", std::move(rows)}};
  }
  json::object marks;
  for (const auto& [holder, mark] : account.marks)
    marks[holder] = {{"boot_id", mark.boot_id},
                     {"ms", mark.time.count()},
                     {"address", mark.address}};
  return json::serialize(json::object{{"budgets", std::move(budgets)},
                                      {"marks", std::move(marks)}});
}

std::optional<FleetAccount> FleetAccountOf(std::string_view text,
                                           Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* budgets = top ? ObjectField(*top, "budgets") : nullptr;
  const json::object* marks = top ? ObjectField(*top, "marks") : nullptr;
  if (!budgets || !marks) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the fleet's account is no object with budgets and marks");
  }
  FleetAccount account;
  for (const auto& it : *budgets) {
    std::optional<FleetBudget> budget = BudgetOf(it.value());
    if (!budget) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "budget " + std::string(it.key()) + " is malformed");
    }
    account.budgets.emplace(it.key(), std::move(*budget));
  }
  for (const auto& it : *marks) {
    std::optional<BootMark> mark = MarkOf(it.value());
    if (!mark) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "the mark of " + std::string(it.key()) + " is malformed");
    }
    account.marks.emplace(it.key(), std::move(*mark));
  }
  return account;
}

void CloseEarlierIncarnations(FleetAccount& account,
                              const std::string& holder,
                              const BootMark& now) {
  const auto is_earlier = [&](const std::string& other) {
    return other != holder && HostOf(other) == HostOf(holder);
  };
  for (auto& [name, budget] : account.budgets) {
    for (const auto& [other, row] : budget.rows) {
      if (!is_earlier(other))
        continue;
      auto mark = account.marks.find(other);
      const bool in_touch =
          mark != account.marks.end() && WasInTouch(mark->second, now);
      budget.closed += in_touch ? std::min(row.opened, row.Held()) : row.Held();
    }
    std::erase_if(budget.rows,
                  [&](const auto& it) { return is_earlier(it.first); });
  }
  std::erase_if(account.marks,
                [&](const auto& it) { return is_earlier(it.first); });
}

void CloseHolder(FleetAccount& account,
                 const std::string& holder,
                 const std::map<std::string, std::int64_t>& spent) {
  for (auto& [name, budget] : account.budgets) {
    auto row = budget.rows.find(holder);
    if (row == budget.rows.end())
      continue;
    auto it = spent.find(name);
    // What was never opened was never spent.
    budget.closed += it == spent.end() ? 0 : it->second;
    budget.rows.erase(row);
  }
  account.marks.erase(holder);
}

}  // namespace turmericwinch
