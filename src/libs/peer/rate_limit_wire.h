// Converts notices of rate limits to and from their wire format.

#ifndef SRC_LIBS_PEER_RATE_LIMIT_WIRE_H_
#define SRC_LIBS_PEER_RATE_LIMIT_WIRE_H_

#include <peer_types.h>

#include <optional>

#include "libs/peer/peer_frame.h"

namespace turmericwinch {

wire::RateLimitNotice ToWire(const RateLimitNotice& notice);
// Returns nullopt if the content is not valid.
std::optional<RateLimitNotice> RateLimitNoticeOf(
    const wire::RateLimitNotice& wire);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_RATE_LIMIT_WIRE_H_
