// Versions of the store in the fields of frames.

#ifndef SRC_LIBS_PEER_VERSION_WIRE_H_
#define SRC_LIBS_PEER_VERSION_WIRE_H_

#include <peer_types.h>

#include <cstdint>
#include <map>
#include <optional>

#include "libs/base/store_version.h"

namespace turmericwinch {

// Versions that do not fit their packed fields, by the numbers of the fields.
using WideVersions = std::map<std::int16_t, wire::WideVersion>;

// The content of the packed field `field` for `version`. If it does not fit,
// returns 0 and adds it to `wide`.
std::int64_t ToWire(const StoreVersion& version,
                    std::int16_t field,
                    WideVersions& wide);

// The version of the packed field `field` with the content `packed`; nullopt if
// it is out of range.
std::optional<StoreVersion> VersionOf(std::int64_t packed,
                                      std::int16_t field,
                                      const WideVersions& wide);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_VERSION_WIRE_H_
