#include "libs/gateway/listed_targets.h"

#include <algorithm>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

// Returns null if the list has no target of that name.
const ListedMember* Find(const HostList& list, const std::string& name) {
  auto found =
      std::find_if(list.targets.begin(), list.targets.end(),
                   [&name](const ListedMember& it) { return it.name == name; });
  return found == list.targets.end() ? nullptr : &*found;
}

}  // namespace

bool ListedTargets::IsReplaced(const ListedMember& expired) const {
  return std::any_of(
      list_.targets.begin(), list_.targets.end(), [&](const ListedMember& it) {
        return !expired_.contains(it.name) && it.address == expired.address;
      });
}

void ListedTargets::RecordRemoved(const HostList& before,
                                  const std::vector<HostListChange>& changes,
                                  TimePoint now) {
  std::erase_if(removed_, [now](const auto& it) {
    return now - it.second.time > kRemovedTargetMemory;
  });
  for (const HostListChange& it : changes) {
    if (!it.removed)
      removed_.erase(it.member.name);
    else if (const ListedMember* target = Find(before, it.member.name))
      removed_[it.member.name] = {target->incarnation, now};
  }
}

void ListedTargets::CorrectRestoredList(HostList& list, TimePoint now) {
  std::erase_if(list.targets, [&](const ListedMember& it) {
    auto removed = removed_.find(it.name);
    if (removed == removed_.end() ||
        removed->second.incarnation != it.incarnation)
      return false;
    withheld_.insert_or_assign(it.name, Withheld{it, now + kRestoredEntryTime});
    return true;
  });
  for (ListedMember& it : list.targets) {
    const ListedMember* known = Find(list_, it.name);
    if (known && known->incarnation == it.incarnation)
      it.leaving = it.leaving || known->leaving;
  }
}

std::vector<HostListChange> ListedTargets::UpdateFromList(HostList list,
                                                          ListOrigin origin,
                                                          TimePoint now) {
  SortByName(&list);
  if (origin == ListOrigin::kRestoredStore)
    CorrectRestoredList(list, now);
  std::erase_if(expired_, [&](const auto& it) { return Find(list, it.first); });
  HostList next = list;
  for (const ListedMember& it : list_.targets) {
    if (Find(list, it.name))
      continue;
    if (origin != ListOrigin::kAvailableStore)
      expired_.emplace(it.name, now + kExpiredTargetGracePeriod);
    if (expired_.contains(it.name))
      next.targets.push_back(it);
  }
  SortByName(&next);
  std::vector<HostListChange> changes = DiffHostLists(list_, next);
  RecordRemoved(list_, changes, now);
  list_ = std::move(next);
  return changes;
}

std::vector<HostListChange> ListedTargets::UpdateFromChanges(
    const std::vector<HostListChange>& changes,
    TimePoint now) {
  const HostList before = list_;
  for (const HostListChange& it : changes) {
    expired_.erase(it.member.name);
    withheld_.erase(it.member.name);
  }
  ApplyChanges(changes, &list_);
  // Removes expired targets whose address now belongs to another target.
  std::erase_if(list_.targets, [this](const ListedMember& it) {
    return expired_.contains(it.name) && IsReplaced(it);
  });
  std::erase_if(expired_,
                [this](const auto& it) { return !Find(list_, it.first); });
  std::vector<HostListChange> result = DiffHostLists(before, list_);
  RecordRemoved(before, result, now);
  return result;
}

std::vector<HostListChange> ListedTargets::UpdateTimed(TimePoint now) {
  const HostList before = list_;
  std::erase_if(list_.targets, [&](const ListedMember& it) {
    auto grace_end = expired_.find(it.name);
    return grace_end != expired_.end() && now >= grace_end->second;
  });
  std::erase_if(expired_, [&](const auto& it) { return now >= it.second; });
  std::erase_if(withheld_, [&](const auto& it) {
    if (now < it.second.until)
      return false;
    list_.targets.push_back(it.second.target);
    return true;
  });
  SortByName(&list_);
  std::vector<HostListChange> changes = DiffHostLists(before, list_);
  RecordRemoved(before, changes, now);
  return changes;
}

}  // namespace turmericwinch
