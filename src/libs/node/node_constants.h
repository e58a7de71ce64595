// Constants of the node library.

#ifndef SRC_LIBS_NODE_NODE_CONSTANTS_H_
#define SRC_LIBS_NODE_NODE_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Longest wait of one watch on the platform.
inline constexpr std::chrono::milliseconds kWatchWait{10'000};
// First and longest pause after a failed call to the platform.
inline constexpr std::chrono::milliseconds kPlatformPauseFirst{100};
inline constexpr std::chrono::milliseconds kPlatformPauseMost{2'000};
// Time between readings of the host list.
inline constexpr std::chrono::milliseconds kHostListInterval{1'000};
// Time between flushes of bills and counters.
inline constexpr std::chrono::milliseconds kFlushInterval{1'000};
// Longest time that a request waits for a grant.
inline constexpr std::chrono::milliseconds kGrantWait{1'500};
// Time for which a budget that was found exhausted is refused without asking.
inline constexpr std::chrono::milliseconds kDenialHold{500};
// Attempts of a repeatable request on different targets.
inline constexpr int kTargetAttempts = 3;
// Connections that one host accepts from callers.
inline constexpr std::size_t kMostConnections = 20'000;
// Tokens that the chat format adds to each message at most.
inline constexpr int kTokensPerMessage = 8;
// Finished requests that a host remembers for operators.
inline constexpr std::size_t kRequestsRemembered = 4096;
// Time that an answer waits for the record of its claim.
inline constexpr std::chrono::milliseconds kSettleWait{250};
// Claims whose end waits for the platform, and the bytes of their answers.
inline constexpr std::uint64_t kMostUnsettledClaims = 2'048;
inline constexpr std::uint64_t kMostUnsettledBytes = 8 * 1024 * 1024;
// Time between two looks for old claims, each at a 256th of them.
inline constexpr std::chrono::seconds kClaimSweepInterval{60};
// Time between readings of other hosts' quarantine verdicts.
inline constexpr std::chrono::milliseconds kVerdictInterval{5'000};
// Time for a graceful shutdown.
inline constexpr std::chrono::milliseconds kShutdownDeadline{30'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_CONSTANTS_H_
