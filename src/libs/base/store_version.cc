#include "libs/base/store_version.h"

#include <limits>

namespace turmericwinch {

namespace {

constexpr std::uint64_t kPackedRevisionsPerEra = 1'000'000'000'000;
// The highest era of which every packed revision fits into 63 bits.
constexpr std::uint64_t kMaxPackedEra =
    std::numeric_limits<std::int64_t>::max() / kPackedRevisionsPerEra - 1;

}  // namespace

std::string ToText(const StoreVersion& version) {
  const std::string revision = std::to_string(version.revision);
  return version.era == 0 ? revision
                          : std::to_string(version.era) + "." + revision;
}

std::optional<std::int64_t> PackVersion(const StoreVersion& version) {
  if (version.revision >= kPackedRevisionsPerEra || version.era > kMaxPackedEra)
    return std::nullopt;
  return static_cast<std::int64_t>(version.era * kPackedRevisionsPerEra +
                                   version.revision);
}

StoreVersion UnpackVersion(std::uint64_t packed) {
  return {packed / kPackedRevisionsPerEra, packed % kPackedRevisionsPerEra};
}

}  // namespace turmericwinch
