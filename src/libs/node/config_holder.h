// The configuration in force on this host.

#ifndef SRC_LIBS_NODE_CONFIG_HOLDER_H_
#define SRC_LIBS_NODE_CONFIG_HOLDER_H_

#include <memory>
#include <mutex>

#include "libs/config/config_snapshot.h"

namespace turmericwinch {

// A new configuration replaces the whole snapshot; a request keeps the one it
// started with. Safe from any thread.
class ConfigHolder {
 public:
  // The snapshot in force; null before the first one.
  std::shared_ptr<const ConfigSnapshot> Get() const;
  // Puts `snapshot` in force if its generation is newer, else returns false.
  bool ActivateIfNewer(std::shared_ptr<const ConfigSnapshot> snapshot);

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigSnapshot> snapshot_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CONFIG_HOLDER_H_
