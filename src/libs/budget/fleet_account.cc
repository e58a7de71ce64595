#include "libs/budget/fleet_account.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <set>
#include <vector>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

std::optional<FleetRow> ParseRow(const json::value& value) {
  const json::array* totals = value.if_array();
  if (!totals || totals->size() != 3)
    return std::nullopt;
  for (const json::value& it : *totals) {
    if (!it.is_int64())
      return std::nullopt;
  }
  return FleetRow{(*totals)[0].as_int64(), (*totals)[1].as_int64(),
                  (*totals)[2].as_int64()};
}

std::optional<FleetBudget> ParseBudget(const json::value& value) {
  const json::object* object = value.if_object();
  const json::object* rows = object ? ObjectField(*object, "rows") : nullptr;
  const std::optional<std::int64_t> closed =
      object ? IntField(*object, "closed") : std::nullopt;
  if (!rows || !closed)
    return std::nullopt;
  FleetBudget budget;
  budget.closed = *closed;
  budget.peak_rate = IntField(*object, "peak_rate").value_or(0);
  for (const auto& it : *rows) {
    std::optional<FleetRow> row = ParseRow(it.value());
    if (!row)
      return std::nullopt;
    budget.rows.emplace(it.key(), *row);
  }
  return budget;
}

std::optional<FleetHeartbeat> ParseHeartbeat(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  const std::optional<std::string> boot_id = StringField(*object, "boot_id");
  const std::optional<std::int64_t> ms = IntField(*object, "ms");
  if (!boot_id || !ms)
    return std::nullopt;
  return FleetHeartbeat{*boot_id, BootTime(*ms),
                        StringField(*object, "address").value_or(""),
                        StringField(*object, "domain").value_or(""),
                        IntField(*object, "link_mbps").value_or(0)};
}

std::optional<FleetClosing> ParseClosing(const json::value& value) {
  const json::object* object = value.if_object();
  const std::optional<std::string> holder =
      object ? StringField(*object, "holder") : std::nullopt;
  const json::object* charges =
      object ? ObjectField(*object, "charges") : nullptr;
  if (!holder || !charges)
    return std::nullopt;
  FleetClosing closing{*holder, {}};
  for (const auto& it : *charges) {
    const json::array* numbers = it.value().if_array();
    if (!numbers || numbers->size() != 2 || !(*numbers)[0].is_int64() ||
        !(*numbers)[1].is_int64())
      return std::nullopt;
    closing.charges[it.key()] = {(*numbers)[0].as_int64(),
                                 (*numbers)[1].as_int64()};
  }
  return closing;
}

// Accounts of an earlier version have neither closings nor an era.
bool ParseHistory(const json::object& top, FleetAccount* account) {
  account->era = UintField(top, "era").value_or(0);
  account->is_settled = BoolField(top, "settled").value_or(false);
  account->is_remembered = BoolField(top, "remembered").value_or(false);
  const json::array* closings = ArrayField(top, "closings");
  if (!closings)
    return true;
  for (const json::value& it : *closings) {
    std::optional<FleetClosing> closing = ParseClosing(it);
    if (!closing)
      return false;
    account->closings.push_back(std::move(*closing));
  }
  return true;
}

json::array ClosingsToJson(const std::vector<FleetClosing>& closings) {
  json::array rows;
  for (const FleetClosing& it : closings) {
    json::object charges;
    for (const auto& [budget, charge] : it.charges)
      charges[budget] = json::array{charge.charged, charge.granted};
    rows.push_back({{"holder", it.holder}, {"charges", std::move(charges)}});
  }
  return rows;
}

// Closes `holder`, whose spent tokens of a row are given by `charge_of`.
void CloseRows(FleetAccount& account,
               const std::string& holder,
               const std::function<std::int64_t(const std::string&,
                                                const FleetRow&)>& charge_of) {
  FleetClosing closing{holder, {}};
  for (auto& [name, budget] : account.budgets) {
    auto row = budget.rows.find(holder);
    if (row == budget.rows.end())
      continue;
    const std::int64_t charged = charge_of(name, row->second);
    budget.closed += charged;
    closing.charges[name] = {charged, row->second.granted};
    budget.rows.erase(row);
  }
  account.heartbeats.erase(holder);
  account.closings.push_back(std::move(closing));
  if (account.closings.size() > kMaxFleetClosings) {
    account.closings.erase(account.closings.begin(),
                           account.closings.end() - kMaxFleetClosings);
  }
}

// Whether the account lists the holder or has a row of it.
bool IsKnown(const FleetAccount& account, const std::string& holder) {
  return account.heartbeats.contains(holder) ||
         std::any_of(
             account.budgets.begin(), account.budgets.end(),
             [&](const auto& it) { return it.second.rows.contains(holder); });
}

// Whether `last`, the last heartbeat of a holder that ended, proves that the
// holder spent no more than it opened. `now` is the time at which the host's
// next process checks this.
bool IsRecent(const FleetHeartbeat& last, const FleetHeartbeat& now) {
  return !last.boot_id.empty() && last.boot_id == now.boot_id &&
         now.time >= last.time && now.time - last.time <= kOpenAllDelay;
}

}  // namespace

std::string_view HostOfHolder(std::string_view holder) {
  return holder.substr(0, holder.rfind('_'));
}

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

int FleetAccount::HostCount() const {
  std::set<std::string_view> hosts;
  for (const auto& [holder, heartbeat] : heartbeats)
    hosts.insert(HostOfHolder(holder));
  return static_cast<int>(hosts.size());
}

std::string ToJson(const FleetAccount& account) {
  json::object budgets;
  for (const auto& [name, budget] : account.budgets) {
    json::object rows;
    for (const auto& [holder, row] : budget.rows)
      rows[holder] = json::array{row.granted, row.given_back, row.opened};
    json::object entry{{"closed", budget.closed}, {"rows", std::move(rows)}};
    if (account.era > 0)
      entry["peak_rate"] = budget.peak_rate;
    budgets[name] = std::move(entry);
  }
  json::object heartbeats;
  for (const auto& [holder, heartbeat] : account.heartbeats)
    heartbeats[holder] = {{"boot_id", heartbeat.boot_id},
                          {"ms", heartbeat.time.count()},
                          {"address", heartbeat.address},
                          {"domain", heartbeat.domain},
                          {"link_mbps", heartbeat.link_mbps}};
  json::object top{{"budgets", std::move(budgets)},
                   {"marks", std::move(heartbeats)},
                   {"closings", ClosingsToJson(account.closings)}};
  if (account.era > 0) {
    top["era"] = account.era;
    top["settled"] = account.is_settled;
    top["remembered"] = account.is_remembered;
  }
  return json::serialize(top);
}

std::optional<FleetAccount> ParseFleetAccount(std::string_view text,
                                              Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* budgets = top ? ObjectField(*top, "budgets") : nullptr;
  const json::object* heartbeats = top ? ObjectField(*top, "marks") : nullptr;
  if (!budgets || !heartbeats) {
    return Fail(
        reason, ResultCode::kPlatformRejected,
        "the fleet account is not an object with \"budgets\" and \"marks\"");
  }
  FleetAccount account;
  for (const auto& it : *budgets) {
    std::optional<FleetBudget> budget = ParseBudget(it.value());
    if (!budget) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "budget " + std::string(it.key()) +
                      " of the fleet account is malformed");
    }
    account.budgets.emplace(it.key(), std::move(*budget));
  }
  for (const auto& it : *heartbeats) {
    std::optional<FleetHeartbeat> heartbeat = ParseHeartbeat(it.value());
    if (!heartbeat) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "the entry of holder " + std::string(it.key()) +
                      " in \"marks\" is malformed");
    }
    account.heartbeats.emplace(it.key(), std::move(*heartbeat));
  }
  if (!ParseHistory(*top, &account)) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "\"closings\" of the fleet account is malformed");
  }
  return account;
}

std::vector<std::string> EarlierIncarnations(const FleetAccount& account,
                                             const std::string& holder) {
  std::set<std::string> earlier;
  const auto add_if_earlier = [&](const std::string& other) {
    if (other != holder && HostOfHolder(other) == HostOfHolder(holder))
      earlier.insert(other);
  };
  for (const auto& [name, budget] : account.budgets) {
    for (const auto& [other, row] : budget.rows)
      add_if_earlier(other);
  }
  for (const auto& [other, heartbeat] : account.heartbeats)
    add_if_earlier(other);
  return {earlier.begin(), earlier.end()};
}

void CloseEnded(FleetAccount& account,
                const std::vector<std::string>& ended,
                const FleetHeartbeat& now) {
  for (const std::string& other : ended) {
    if (!IsKnown(account, other))
      continue;
    auto heartbeat = account.heartbeats.find(other);
    const bool is_recent = heartbeat != account.heartbeats.end() &&
                           IsRecent(heartbeat->second, now);
    CloseRows(account, other, [&](const std::string&, const FleetRow& row) {
      return is_recent ? std::min(row.opened, row.Held()) : row.Held();
    });
  }
}

void CloseHolder(FleetAccount& account,
                 const std::string& holder,
                 const std::map<std::string, std::int64_t>& spent) {
  CloseRows(account, holder, [&](const std::string& name, const FleetRow&) {
    auto it = spent.find(name);
    // A budget without an entry in `spent` was never opened, so nothing of it
    // was spent.
    return it == spent.end() ? 0 : it->second;
  });
}

}  // namespace turmericwinch
