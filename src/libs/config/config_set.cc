#include "libs/config/config_set.h"

#include <boost/json/serialize.hpp>

namespace turmericwinch {

bool ConfigSet::Add(ConfigObject object) {
  Key key{object.kind, object.name};
  return objects_.emplace(std::move(key), std::move(object)).second;
}

const ConfigObject* ConfigSet::Find(ConfigKind kind,
                                    const std::string& name) const {
  auto it = objects_.find({kind, name});
  return it == objects_.end() ? nullptr : &it->second;
}

std::vector<std::string> ConfigSet::NamesOf(ConfigKind kind) const {
  std::vector<std::string> names;
  for (auto it = objects_.lower_bound({kind, ""});
       it != objects_.end() && it->first.first == kind; ++it)
    names.push_back(it->first.second);
  return names;
}

std::string CanonicalJson(const ConfigObject& object) {
  std::map<std::string, const boost::json::value*> ordered;
  for (const auto& it : object.fields)
    ordered.emplace(it.key(), &it.value());
  boost::json::object canonical;
  canonical["kind"] = NameOf(object.kind);
  canonical["name"] = object.name;
  for (const auto& [name, value] : ordered)
    canonical[name] = *value;
  return boost::json::serialize(canonical);
}

std::string QualifiedName(const ConfigObject& object) {
  return std::string(NameOf(object.kind)) + "/" + object.name;
}

}  // namespace turmericwinch
