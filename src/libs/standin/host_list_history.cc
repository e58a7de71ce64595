#include "libs/standin/host_list_history.h"

#include <utility>

namespace turmericwinch {

namespace {

constexpr char kEmptyList[] = "{\"hosts\":[],\"targets\":[]}";
constexpr std::size_t kMostLists = 1'000;

}  // namespace

void HostListHistory::Set(std::string list, Time now) {
  lists_[now] = std::move(list);
  if (lists_.size() > kMostLists)
    lists_.erase(lists_.begin());
}

std::string HostListHistory::At(Time time) const {
  auto it = lists_.upper_bound(time);
  return it == lists_.begin() ? kEmptyList : std::prev(it)->second;
}

}  // namespace turmericwinch
