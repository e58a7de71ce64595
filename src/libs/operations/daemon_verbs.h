// Verbs of winch that call daemons: dump, status, evacuations, explain, drain.

#ifndef SRC_LIBS_OPERATIONS_DAEMON_VERBS_H_
#define SRC_LIBS_OPERATIONS_DAEMON_VERBS_H_

#include <boost/asio/awaitable.hpp>

#include "libs/base/reason.h"

namespace turmericwinch {

struct WinchContext;

// Prints the whole state of the daemon named by --daemon.
boost::asio::awaitable<Reason> DumpDaemon(WinchContext& context);

// Prints host, configuration generation and state of each daemon of --daemons.
boost::asio::awaitable<Reason> ShowStatus(WinchContext& context);

// Prints the evacuated failure domains that each gateway of --daemons knows.
boost::asio::awaitable<Reason> ShowEvacuations(WinchContext& context);

// Prints the records that the daemons of --daemons have of a request.
boost::asio::awaitable<Reason> ExplainRequest(WinchContext& context);

// Starts a graceful shutdown of the daemon named by --daemon.
boost::asio::awaitable<Reason> DrainDaemon(WinchContext& context);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_DAEMON_VERBS_H_
