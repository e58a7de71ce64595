// One configuration object as it stands in a file or in the platform.

#ifndef SRC_LIBS_CONFIG_CONFIG_OBJECT_H_
#define SRC_LIBS_CONFIG_CONFIG_OBJECT_H_

#include <boost/json/object.hpp>
#include <string>

#include "libs/config/config_kind.h"

namespace turmericwinch {

// `fields` holds all members besides "kind" and "name". `file` is empty for
// objects that came from the platform.
struct ConfigObject {
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  boost::json::object fields;
  std::string file;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_OBJECT_H_
