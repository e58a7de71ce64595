#include "libs/gateway/listed_targets.h"

#include <algorithm>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

bool HasName(const HostList& list, const std::string& name) {
  return std::any_of(
      list.targets.begin(), list.targets.end(),
      [&name](const ListedMember& it) { return it.name == name; });
}

}  // namespace

bool ListedTargets::IsReplaced(const ListedMember& expired) const {
  return std::any_of(
      list_.targets.begin(), list_.targets.end(), [&](const ListedMember& it) {
        return !expired_.contains(it.name) && it.address == expired.address;
      });
}

std::vector<HostListChange> ListedTargets::UpdateFromList(HostList list,
                                                          bool after_outage,
                                                          TimePoint now) {
  SortByName(&list);
  std::erase_if(expired_,
                [&](const auto& it) { return HasName(list, it.first); });
  HostList next = list;
  for (const ListedMember& it : list_.targets) {
    if (HasName(list, it.name))
      continue;
    if (after_outage)
      expired_.emplace(it.name, now + kExpiredTargetGracePeriod);
    if (expired_.contains(it.name))
      next.targets.push_back(it);
  }
  SortByName(&next);
  std::vector<HostListChange> changes = DiffHostLists(list_, next);
  list_ = std::move(next);
  return changes;
}

std::vector<HostListChange> ListedTargets::UpdateFromChanges(
    const std::vector<HostListChange>& changes) {
  const HostList before = list_;
  for (const HostListChange& it : changes)
    expired_.erase(it.member.name);
  ApplyChanges(changes, &list_);
  // Removes expired targets whose address now belongs to another target.
  std::erase_if(list_.targets, [this](const ListedMember& it) {
    return expired_.contains(it.name) && IsReplaced(it);
  });
  std::erase_if(expired_,
                [this](const auto& it) { return !HasName(list_, it.first); });
  return DiffHostLists(before, list_);
}

std::vector<HostListChange> ListedTargets::RemoveExpired(TimePoint now) {
  const HostList before = list_;
  std::erase_if(list_.targets, [&](const ListedMember& it) {
    auto grace_end = expired_.find(it.name);
    return grace_end != expired_.end() && now >= grace_end->second;
  });
  std::erase_if(expired_, [&](const auto& it) { return now >= it.second; });
  return DiffHostLists(before, list_);
}

}  // namespace turmericwinch
