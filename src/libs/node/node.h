// One entry host: all parts of the daemon, wired together.

#ifndef SRC_LIBS_NODE_NODE_H_
#define SRC_LIBS_NODE_NODE_H_

#include <memory>
#include <optional>

#include "libs/base/reason.h"
#include "libs/node/node_settings.h"

namespace turmericwinch {

// Runs one control thread, the caller's own, and the traffic threads.
class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();

  // Binds the listeners. Answers true, or nothing with a reason.
  std::optional<bool> Start(Reason* reason);

  // Runs until a graceful shutdown is done: SIGTERM or SIGINT starts it, a
  // second signal or the deadline ends it. Answers the process's exit code.
  int Run();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_H_
