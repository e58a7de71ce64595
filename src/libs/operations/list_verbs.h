// Verbs of winch that show the platform's host list: hosts, targets.

#ifndef SRC_LIBS_OPERATIONS_LIST_VERBS_H_
#define SRC_LIBS_OPERATIONS_LIST_VERBS_H_

#include <boost/asio/awaitable.hpp>

#include "libs/base/reason.h"

namespace turmericwinch {

struct WinchContext;

// Prints the entry hosts of the platform's list.
boost::asio::awaitable<Reason> ShowHosts(WinchContext& context);

// Prints the targets of the platform's list.
boost::asio::awaitable<Reason> ShowTargets(WinchContext& context);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_LIST_VERBS_H_
