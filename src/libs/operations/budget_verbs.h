// The verbs of winch that show bills and release the tokens of ended holders.

#ifndef SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_
#define SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_

#include <boost/asio/awaitable.hpp>

#include "libs/base/reason.h"
#include "libs/operations/winch_commands.h"

namespace turmericwinch {

// `winch bills`: shows the bills selected by --request, --team, --since and
// --until.
boost::asio::awaitable<Reason> BillsVerb(WinchContext& context);

// `winch budget release HOLDER`: records the holder as ended. Charges the
// tokens in the holder's bills and frees the rest of its grants as soon as
// every host that may have borrowed from it has acknowledged its end or has
// ended itself. Requires --process-ended: winch cannot check by itself that the
// process spends no more tokens, so the operator confirms it.
boost::asio::awaitable<Reason> ReleaseVerb(WinchContext& context);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_BUDGET_VERBS_H_
