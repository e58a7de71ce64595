// Executes a platform call that a decision library returned.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_CALLER_H_
#define SRC_LIBS_PLATFORM_PLATFORM_CALLER_H_

#include <boost/asio/awaitable.hpp>

#include "libs/budget/platform_call.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Waits for the pause of `call`, then executes it. Must run on the platform
// client's thread.
boost::asio::awaitable<PlatformAnswer> MakeCall(PlatformClient& platform,
                                                PlatformDuty duty,
                                                PlatformCall call);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_CALLER_H_
