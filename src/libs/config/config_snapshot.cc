#include "libs/config/config_snapshot.h"

#include <algorithm>
#include <boost/json/array.hpp>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

std::vector<std::string> StringListField(const json::object& fields,
                                         std::string_view name) {
  std::vector<std::string> strings;
  if (const json::array* items = ArrayField(fields, name)) {
    for (const json::value& it : *items) {
      if (it.is_string())
        strings.emplace_back(it.get_string());
    }
  }
  return strings;
}

std::int64_t IntOr(const json::object& fields,
                   std::string_view name,
                   std::int64_t default_value) {
  return IntField(fields, name).value_or(default_value);
}

std::string StringOrEmpty(const json::object& fields, std::string_view name) {
  return StringField(fields, name).value_or("");
}

template <typename T>
const T* FindIn(const std::map<std::string, T>& map, const std::string& name) {
  auto it = map.find(name);
  return it == map.end() ? nullptr : &it->second;
}

bool Contains(const std::vector<std::string>& list, std::string_view word) {
  return std::find(list.begin(), list.end(), word) != list.end();
}

// Whether `path` starts with `prefix` at a segment boundary.
bool HasPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix))
    return false;
  return prefix.empty() || prefix.back() == '/' ||
         path.size() == prefix.size() || path[prefix.size()] == '/';
}

}  // namespace

ConfigSnapshot::ConfigSnapshot(std::uint64_t generation,
                               std::string digest,
                               const ConfigSet& set)
    : generation_(generation), digest_(std::move(digest)) {
  for (const auto& [key, object] : set.objects())
    AddObject(object);
  for (auto& [service, routes] : routes_of_service_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteConfig& left, const RouteConfig& right) {
                       return left.path.size() > right.path.size();
                     });
    const ServiceConfig* service_config = Service(service);
    for (RouteConfig& it : routes) {
      if (it.deadline.count() == 0 && service_config)
        it.deadline = service_config->deadline;
    }
  }
}

void ConfigSnapshot::AddObject(const ConfigObject& object) {
  const json::object& fields = object.fields;
  const std::string& name = object.name;
  switch (object.kind) {
    case ConfigKind::kTeam:
      teams_[name] = {name, static_cast<int>(IntOr(fields, "priority", 5)),
                      static_cast<int>(IntOr(fields, "share", 1)),
                      StringListField(fields, "regions")};
      for (const std::string& it : StringListField(fields, "key_hashes"))
        team_of_key_[it] = name;
      return;
    case ConfigKind::kBudget:
      budgets_[name] = {name, StringOrEmpty(fields, "team"),
                        IntOr(fields, "tokens", 0),
                        StringListField(fields, "services"),
                        static_cast<int>(IntOr(fields, "reserve_percent", 50))};
      budgets_of_team_[StringOrEmpty(fields, "team")].push_back(name);
      return;
    case ConfigKind::kService:
      services_[name] = {
          name,
          StringOrEmpty(fields, "protocol") == "plain"
              ? ServiceProtocol::kPlain
              : ServiceProtocol::kModel,
          IntOr(fields, "call_tokens", 1),
          IntOr(fields, "most_output_tokens", 1024),
          std::chrono::milliseconds(IntOr(fields, "deadline_ms", 60'000))};
      return;
    case ConfigKind::kRoute:
      routes_of_service_[StringOrEmpty(fields, "service")].push_back(
          {name, StringOrEmpty(fields, "service"),
           StringOrEmpty(fields, "path"), StringListField(fields, "methods"),
           BoolField(fields, "repeatable").value_or(false),
           std::chrono::milliseconds(IntOr(fields, "deadline_ms", 0)),
           StringListField(fields, "teams"),
           StringListField(fields, "regions")});
      return;
    case ConfigKind::kTargetClass:
      target_classes_[name] = {
          name,
          StringOrEmpty(fields, "service"),
          IntOr(fields, "tokens_per_second", 50),
          IntOr(fields, "most_in_flight", 64),
          std::chrono::milliseconds(IntOr(fields, "cold_ms", 0)),
          NumberField(fields, "cold_requests_per_second").value_or(0),
          IntOr(fields, "memory_tokens", 0)};
      return;
    case ConfigKind::kFailureDomain:
      failure_domains_[name] = {name, StringOrEmpty(fields, "region"),
                                StringListField(fields, "overflow"),
                                StringListField(fields, "near")};
      if (const std::string region = StringOrEmpty(fields, "region");
          !region.empty())
        domain_regions_[name] = region;
      return;
    case ConfigKind::kLimit:
      limits_of_team_[StringOrEmpty(fields, "team")].push_back(
          {name, StringOrEmpty(fields, "team"),
           StringOrEmpty(fields, "service"),
           IntOr(fields, "requests_per_second", 0),
           IntOr(fields, "most_in_flight", 0),
           IntOr(fields, "most_tokens", 0)});
      return;
  }
}

const TeamConfig* ConfigSnapshot::TeamOfKeyHash(
    const std::string& key_hash) const {
  auto it = team_of_key_.find(key_hash);
  return it == team_of_key_.end() ? nullptr : FindIn(teams_, it->second);
}

const ServiceConfig* ConfigSnapshot::Service(const std::string& name) const {
  return FindIn(services_, name);
}

const RouteConfig* ConfigSnapshot::Route(const std::string& service,
                                         std::string_view path,
                                         std::string_view method) const {
  auto routes = routes_of_service_.find(service);
  if (routes == routes_of_service_.end())
    return nullptr;
  for (const RouteConfig& it : routes->second) {
    if (HasPathPrefix(path, it.path) &&
        (it.methods.empty() || Contains(it.methods, method)))
      return &it;
  }
  return nullptr;
}

std::vector<const BudgetConfig*> ConfigSnapshot::Budgets(
    const std::string& team,
    const std::string& service) const {
  std::vector<const BudgetConfig*> budgets;
  auto names = budgets_of_team_.find(team);
  if (names == budgets_of_team_.end())
    return budgets;
  for (const std::string& it : names->second) {
    const BudgetConfig* budget = FindIn(budgets_, it);
    if (budget->services.empty() || Contains(budget->services, service))
      budgets.push_back(budget);
  }
  return budgets;
}

std::vector<const LimitConfig*> ConfigSnapshot::Limits(
    const std::string& team,
    const std::string& service) const {
  std::vector<const LimitConfig*> limits;
  auto all = limits_of_team_.find(team);
  if (all == limits_of_team_.end())
    return limits;
  for (const LimitConfig& it : all->second) {
    if (it.service.empty() || it.service == service)
      limits.push_back(&it);
  }
  return limits;
}

const TargetClassConfig* ConfigSnapshot::TargetClass(
    const std::string& name) const {
  return FindIn(target_classes_, name);
}

const FailureDomainConfig* ConfigSnapshot::FailureDomain(
    const std::string& name) const {
  return FindIn(failure_domains_, name);
}

}  // namespace turmericwinch
