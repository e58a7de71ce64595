#include "libs/peer/version_wire.h"

namespace turmericwinch {

std::int64_t ToWire(const StoreVersion& version,
                    std::int16_t field,
                    WideVersions& wide) {
  if (std::optional<std::int64_t> packed = PackVersion(version))
    return *packed;
  wire::WideVersion& added = wide[field];
  added.era = static_cast<std::int64_t>(version.era);
  added.revision = static_cast<std::int64_t>(version.revision);
  return 0;
}

std::optional<StoreVersion> VersionOf(std::int64_t packed,
                                      std::int16_t field,
                                      const WideVersions& wide) {
  if (auto it = wide.find(field); it != wide.end()) {
    return StoreVersion{static_cast<std::uint64_t>(it->second.era),
                        static_cast<std::uint64_t>(it->second.revision)};
  }
  if (packed < 0)
    return std::nullopt;
  return UnpackVersion(static_cast<std::uint64_t>(packed));
}

}  // namespace turmericwinch
