#include "libs/standin/object_store.h"

namespace turmericwinch {

const StoredObject* ObjectStore::Find(const std::string& name) const {
  auto it = objects_.find(name);
  return it == objects_.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> ObjectStore::Create(const std::string& name,
                                                 std::string value) {
  auto [it, added] = objects_.try_emplace(name);
  if (!added)
    return std::nullopt;
  it->second = {name, ++last_version_, std::move(value)};
  return last_version_;
}

std::optional<std::uint64_t> ObjectStore::Update(const std::string& name,
                                                 std::uint64_t version,
                                                 std::string value) {
  auto it = objects_.find(name);
  if (it == objects_.end() || it->second.version != version)
    return std::nullopt;
  it->second.version = ++last_version_;
  it->second.value = std::move(value);
  return last_version_;
}

bool ObjectStore::Delete(const std::string& name, std::uint64_t version) {
  auto it = objects_.find(name);
  if (it == objects_.end() || it->second.version != version)
    return false;
  objects_.erase(it);
  ++last_version_;
  return true;
}

std::vector<StoredObject> ObjectStore::List(std::string_view prefix) const {
  std::vector<StoredObject> found;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it)
    found.push_back(it->second);
  return found;
}

}  // namespace turmericwinch
