// Constants of the HTTP library.

#ifndef SRC_LIBS_HTTP_HTTP_CONSTANTS_H_
#define SRC_LIBS_HTTP_HTTP_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Maximum bytes of a request's header block.
inline constexpr std::size_t kHttpMostHeaderBytes = 16 * 1024;
// Maximum bytes of a request or response body.
inline constexpr std::size_t kHttpMostBodyBytes = 4 * 1024 * 1024;
// Time within which a caller must send the header block, and then the body.
inline constexpr std::chrono::seconds kHttpReadTimeout{10};
// Time that a caller's connection may stay idle between requests.
inline constexpr std::chrono::seconds kHttpIdleTimeout{60};
// Time after which a write to a caller that has not completed fails.
inline constexpr std::chrono::seconds kHttpWriteTimeout{30};
// Time that a pooled client connection may stay idle before it is closed.
inline constexpr std::chrono::seconds kHttpPoolIdle{20};
// Maximum age of a pooled client connection. Each connection gets a random age
// between half of this and this, so that they are not all replaced at once.
inline constexpr std::chrono::minutes kHttpPoolMaxAge{5};
// Maximum bytes of a response that a client buffers before it can parse them.
inline constexpr std::size_t kHttpMaxBufferedBytes = 64 * 1024;
// Maximum number of responses to other requests that a call skips.
inline constexpr int kHttpMaxSkippedResponses = 4;
// Statuses of final responses. The parser accepts any three digits. Interim
// responses (1xx) are not expected, as requests have no Expect field.
inline constexpr unsigned kHttpMinFinalStatus = 200;
inline constexpr unsigned kHttpMaxStatus = 599;
// Buffer size of one socket read, in bytes.
inline constexpr std::size_t kHttpReadBytes = 8 * 1024;

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CONSTANTS_H_
