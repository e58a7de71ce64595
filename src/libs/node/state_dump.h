// A node's whole state as JSON, for people on call.

#ifndef SRC_LIBS_NODE_STATE_DUMP_H_
#define SRC_LIBS_NODE_STATE_DUMP_H_

#include <string>

namespace turmericwinch {

struct NodeContext;

// The state of `node` now. Safe from any thread.
std::string DumpState(NodeContext& node);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_STATE_DUMP_H_
