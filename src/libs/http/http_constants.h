// Constants of the HTTP library.

#ifndef SRC_LIBS_HTTP_HTTP_CONSTANTS_H_
#define SRC_LIBS_HTTP_HTTP_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Bytes of a request's header block.
inline constexpr std::size_t kHttpMostHeaderBytes = 16 * 1024;
// Bytes of a body, in either direction.
inline constexpr std::size_t kHttpMostBodyBytes = 4 * 1024 * 1024;
// Time for a caller to send its header block, and then its body.
inline constexpr std::chrono::seconds kHttpReadTimeout{10};
// Time that a caller's connection may stay idle between requests.
inline constexpr std::chrono::seconds kHttpIdleTimeout{60};
// Time that a write to a caller may make no progress.
inline constexpr std::chrono::seconds kHttpWriteTimeout{30};
// Time that a pooled client connection may stay idle before it is closed.
inline constexpr std::chrono::seconds kHttpPoolIdle{20};
// Age at which a pooled client connection is renewed at the latest. Each has an
// age of its own between half of it and this, so that they don't end together.
inline constexpr std::chrono::minutes kHttpPoolMaxAge{5};
// Bytes of one read.
inline constexpr std::size_t kHttpReadBytes = 8 * 1024;

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CONSTANTS_H_
