// A node's whole state as JSON, for operators.

#ifndef SRC_LIBS_NODE_STATE_DUMP_H_
#define SRC_LIBS_NODE_STATE_DUMP_H_

#include <string>

namespace turmericwinch {

struct NodeContext;

// The current state of `node`. Safe from any thread.
std::string DumpState(NodeContext& node);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_STATE_DUMP_H_
