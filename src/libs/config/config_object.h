// One configuration object, read from a file or from the platform.

#ifndef SRC_LIBS_CONFIG_CONFIG_OBJECT_H_
#define SRC_LIBS_CONFIG_CONFIG_OBJECT_H_

#include <boost/json/object.hpp>
#include <string>

#include "libs/config/config_kind.h"

namespace turmericwinch {

// `fields` holds all members other than "kind" and "name". `file` is empty for
// objects from the platform.
struct ConfigObject {
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  boost::json::object fields;
  std::string file;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_OBJECT_H_
