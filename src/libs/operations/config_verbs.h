// Verbs of winch that check, publish and show the configuration.

#ifndef SRC_LIBS_OPERATIONS_CONFIG_VERBS_H_
#define SRC_LIBS_OPERATIONS_CONFIG_VERBS_H_

#include <boost/asio/awaitable.hpp>

#include "libs/base/reason.h"

namespace turmericwinch {

struct WinchContext;

// `winch validate DIRECTORY`: reports all errors of a set and publishes
// nothing.
boost::asio::awaitable<Reason> ValidateVerb(WinchContext& context);

// `winch apply DIRECTORY`: checks a set and publishes it with one conditional
// write. With --dry-run it checks the set and prints the differences, but
// publishes nothing.
boost::asio::awaitable<Reason> ApplyVerb(WinchContext& context);

// `winch get [KIND | KIND/NAME]`: prints published objects.
boost::asio::awaitable<Reason> GetVerb(WinchContext& context);

// `winch history`: prints published generations, newest first.
boost::asio::awaitable<Reason> HistoryVerb(WinchContext& context);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_CONFIG_VERBS_H_
