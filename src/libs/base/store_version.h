// Versions of objects in a store that may come back from an old copy.

#ifndef SRC_LIBS_BASE_STORE_VERSION_H_
#define SRC_LIBS_BASE_STORE_VERSION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace turmericwinch {

// A store that comes back from an old copy has lost its newest writes, and
// gives out their revisions again. Its era, which rises by one each time, tells
// the two histories apart, so versions of a later era are higher. The two
// numbers stay apart, as the store may name any 64-bit revision.
struct StoreVersion {
  // 0 if the store names no era.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  // The linter takes a zero in the generated code for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
  // Whether it is the version of anything; revisions of objects start above 0.
  constexpr bool IsSet() const { return era > 0 || revision > 0; }
};

// The revision in decimal, after the era and a dot if the store names an era.
std::string ToText(const StoreVersion& version);

// Earlier releases sent the two numbers as one, era x 10^12 + revision, and
// read no other. Returns nullopt if that number is ambiguous or exceeds 2^63.
std::optional<std::int64_t> PackVersion(const StoreVersion& version);
// Reads the number of PackVersion().
StoreVersion UnpackVersion(std::uint64_t packed);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_STORE_VERSION_H_
