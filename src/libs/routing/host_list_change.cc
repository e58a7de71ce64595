#include "libs/routing/host_list_change.h"

#include <algorithm>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::string_view kRemovedState = "gone";

bool IsBefore(const ListedMember& left, const ListedMember& right) {
  return left.name < right.name;
}

void DiffMembers(const std::vector<ListedMember>& from,
                 const std::vector<ListedMember>& to,
                 bool is_target,
                 std::vector<HostListChange>* changes) {
  auto old = from.begin();
  for (const ListedMember& it : to) {
    for (; old != from.end() && old->name < it.name; ++old)
      changes->push_back({is_target, true, *old});
    const bool known = old != from.end() && old->name == it.name;
    if (!known || *old != it)
      changes->push_back({is_target, false, it});
    if (known)
      ++old;
  }
  for (; old != from.end(); ++old)
    changes->push_back({is_target, true, *old});
}

void SortMembers(std::vector<ListedMember>* members) {
  std::stable_sort(members->begin(), members->end(), IsBefore);
  // std::unique keeps the first row of each name, so reverse the order to keep
  // the last one.
  std::reverse(members->begin(), members->end());
  members->erase(std::unique(members->begin(), members->end(),
                             [](const auto& left, const auto& right) {
                               return left.name == right.name;
                             }),
                 members->end());
  std::reverse(members->begin(), members->end());
}

json::object RowOf(const ListedMember& member, bool is_target) {
  json::object row = {{"name", member.name},
                      {"failure_domain", member.failure_domain},
                      {"address", member.address},
                      {"incarnation", member.incarnation},
                      {"state", member.leaving ? "leaving" : "live"}};
  if (is_target)
    row["class"] = member.target_class;
  if (member.cold_for)
    row["cold_ms"] = member.cold_for->count();
  if (!member.cold_version.empty())
    row["cold_version"] = member.cold_version;
  return row;
}

json::array RowsOf(const std::vector<ListedMember>& members, bool is_target) {
  json::array rows;
  for (const ListedMember& it : members)
    rows.push_back(RowOf(it, is_target));
  return rows;
}

}  // namespace

std::vector<HostListChange> DiffHostLists(const HostList& from,
                                          const HostList& to) {
  std::vector<HostListChange> changes;
  DiffMembers(from.hosts, to.hosts, false, &changes);
  DiffMembers(from.targets, to.targets, true, &changes);
  return changes;
}

void ApplyChanges(const std::vector<HostListChange>& changes, HostList* list) {
  for (const HostListChange& change : changes) {
    auto& members = change.is_target ? list->targets : list->hosts;
    auto it = std::lower_bound(members.begin(), members.end(), change.member,
                               IsBefore);
    const bool known = it != members.end() && it->name == change.member.name;
    if (change.removed && known)
      members.erase(it);
    else if (!change.removed && known)
      *it = change.member;
    else if (!change.removed)
      members.insert(it, change.member);
  }
}

void SortByName(HostList* list) {
  SortMembers(&list->hosts);
  SortMembers(&list->targets);
}

std::string ToJson(const HostList& list) {
  return json::serialize(json::object{{"hosts", RowsOf(list.hosts, false)},
                                      {"targets", RowsOf(list.targets, true)}});
}

std::string ToJson(const std::vector<HostListChange>& changes) {
  json::array rows;
  for (const HostListChange& it : changes) {
    json::object row = RowOf(it.member, it.is_target);
    if (it.removed)
      row = {{"name", it.member.name}, {"state", kRemovedState}};
    row["kind"] = it.is_target ? "target" : "host";
    rows.push_back(std::move(row));
  }
  return json::serialize(rows);
}

std::optional<std::vector<HostListChange>> ParseHostListChanges(
    std::string_view text,
    Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::array* rows = value ? value->if_array() : nullptr;
  if (value && value->is_object())
    rows = ArrayField(value->get_object(), "changes");
  if (!rows) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the changes of the host list are not a JSON array");
  }
  std::vector<HostListChange> changes;
  for (const json::value& it : *rows) {
    const json::object* row = it.if_object();
    std::optional<std::string> name =
        row ? StringField(*row, "name") : std::nullopt;
    const std::string kind =
        row ? StringField(*row, "kind").value_or("") : std::string();
    if (!name || name->empty() || (kind != "host" && kind != "target")) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "a change of the host list has no name or no valid kind");
    }
    const bool removed =
        StringField(*row, "state").value_or("") == kRemovedState;
    changes.push_back({kind == "target", removed, ParseListedMember(*row)});
  }
  return changes;
}

}  // namespace turmericwinch
