// One entry host: creates and connects all parts of the daemon.

#ifndef SRC_LIBS_NODE_NODE_H_
#define SRC_LIBS_NODE_NODE_H_

#include <memory>
#include <optional>

#include "libs/base/reason.h"
#include "libs/node/node_settings.h"

namespace turmericwinch {

// Uses the thread that calls Run() as the control thread and starts the traffic
// threads.
class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();

  // Binds the listeners. Returns true, or nothing and a reason.
  std::optional<bool> Start(Reason* reason);

  // Runs until a graceful shutdown is done: SIGTERM or SIGINT starts it, a
  // second signal or the deadline cuts it short. Returns the exit code of the
  // process.
  int Run();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_H_
