// Converts news of the store to and from their wire format.

#ifndef SRC_LIBS_PEER_STORE_NEWS_WIRE_H_
#define SRC_LIBS_PEER_STORE_NEWS_WIRE_H_

#include <peer_types.h>

#include <optional>

#include "libs/peer/peer_frame.h"

namespace turmericwinch {

wire::StoreNews ToWire(const StoreNews& news);
// Returns nullopt if the content is not valid.
std::optional<StoreNews> StoreNewsOf(const wire::StoreNews& wire);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_STORE_NEWS_WIRE_H_
