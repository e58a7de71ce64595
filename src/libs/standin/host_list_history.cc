#include "libs/standin/host_list_history.h"

#include <algorithm>
#include <utility>

#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

constexpr char kEmptyList[] = "{\"hosts\":[],\"targets\":[]}";
constexpr std::size_t kMostLists = 1'000;

std::string WithVersion(std::uint64_t version, const std::string& rest) {
  return "{\"metadata\":{\"resourceVersion\":" + std::to_string(version) +
         "}," + rest;
}

std::optional<HostList> SortedListOf(const std::string& text) {
  Reason reason;
  std::optional<HostList> list = ParseHostList(text, &reason);
  if (list)
    SortByName(&*list);
  return list;
}

}  // namespace

void HostListHistory::Set(std::string list, Time now) {
  lists_[now] = {++version_, std::move(list)};
  if (lists_.size() > kMostLists)
    lists_.erase(lists_.begin());
}

HostListHistory::Entry HostListHistory::EntryAt(Time time) const {
  auto it = lists_.upper_bound(time);
  return it == lists_.begin() ? Entry{1, kEmptyList} : std::prev(it)->second;
}

std::string HostListHistory::At(Time time) const {
  return EntryAt(time).list;
}

std::uint64_t HostListHistory::VersionAt(Time time) const {
  return EntryAt(time).version;
}

std::optional<HostListHistory::Time> HostListHistory::NextAfter(
    Time time) const {
  auto it = lists_.upper_bound(time);
  if (it == lists_.end())
    return std::nullopt;
  return it->first;
}

std::string HostListHistory::WholeAt(Time time) const {
  const Entry entry = EntryAt(time);
  std::optional<HostList> list = SortedListOf(entry.list);
  return WithVersion(entry.version, list ? ToJson(*list).substr(1) : "}");
}

std::optional<std::string> HostListHistory::ChangesAt(
    Time time,
    std::uint64_t version) const {
  const Entry to = EntryAt(time);
  auto from = std::find_if(lists_.begin(), lists_.end(), [&](const auto& it) {
    return it.second.version == version;
  });
  if (version > to.version || (from == lists_.end() && version != 1))
    return std::nullopt;
  std::optional<HostList> before =
      SortedListOf(from == lists_.end() ? kEmptyList : from->second.list);
  std::optional<HostList> after = SortedListOf(to.list);
  if (!before || !after)
    return std::nullopt;
  return WithVersion(
      to.version,
      "\"changes\":" + ToJson(DiffHostLists(*before, *after)) + "}");
}

}  // namespace turmericwinch
