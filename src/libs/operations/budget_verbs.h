// The verbs of winch about bills and dead hosts.

#ifndef SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_
#define SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_

#include <boost/asio/awaitable.hpp>

#include "libs/base/reason.h"
#include "libs/operations/winch_commands.h"

namespace turmericwinch {

// `winch bills`: the bills that --request, --team, --since and --until select.
boost::asio::awaitable<Reason> BillsVerb(WinchContext& context);

// `winch budget release HOLDER`: charges what the holder's bills prove, and
// frees the rest of its grants, once all hosts that may have borrowed from it
// have closed with it or ended. Needs --process-ended: the operator's word that
// the process cannot spend any more is the evidence.
boost::asio::awaitable<Reason> ReleaseVerb(WinchContext& context);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_
