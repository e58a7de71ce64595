// Versions of objects in a store that may come back from an old copy.

#ifndef SRC_LIBS_PLATFORM_STORE_VERSION_H_
#define SRC_LIBS_PLATFORM_STORE_VERSION_H_

#include <cstdint>

namespace turmericwinch {

// A store that comes back from an old copy has lost its newest writes, and
// gives out their revisions again. Its era, which rises by one each time, tells
// the two histories apart. Decimal, so that logs show both parts.
inline constexpr std::uint64_t kRevisionsPerEra = 1'000'000'000'000;

// Version of the object with this revision. Versions of a later era are higher.
// An era of 0 means that the store names none.
constexpr std::uint64_t VersionOf(std::uint64_t era, std::uint64_t revision) {
  return era * kRevisionsPerEra + revision;
}

constexpr std::uint64_t EraOf(std::uint64_t version) {
  return version / kRevisionsPerEra;
}

constexpr std::uint64_t RevisionOf(std::uint64_t version) {
  return version % kRevisionsPerEra;
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_STORE_VERSION_H_
