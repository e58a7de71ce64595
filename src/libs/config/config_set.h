// A whole set of configuration objects, ordered by kind and name.

#ifndef SRC_LIBS_CONFIG_CONFIG_SET_H_
#define SRC_LIBS_CONFIG_CONFIG_SET_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "libs/config/config_object.h"

namespace turmericwinch {

// Holds at most one object of each kind and name.
class ConfigSet {
 public:
  using Key = std::pair<ConfigKind, std::string>;

  // False if an object of that kind and name is already there.
  bool Add(ConfigObject object);
  // The object, or null.
  const ConfigObject* Find(ConfigKind kind, const std::string& name) const;
  // Names of all objects of `kind`.
  std::vector<std::string> NamesOf(ConfigKind kind) const;
  const std::map<Key, ConfigObject>& objects() const { return objects_; }

 private:
  std::map<Key, ConfigObject> objects_;
};

// Canonical JSON of one object: kind, name, then fields in order of name.
std::string CanonicalJson(const ConfigObject& object);

// "Kind/name".
std::string QualifiedName(const ConfigObject& object);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_SET_H_
