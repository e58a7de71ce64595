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
// Hosts of a failure domain that read the host list, and that wait on the
// published configuration.
inline constexpr std::size_t kHostListReaders = 2;
inline constexpr std::size_t kConfigWatchers = 2;
// Time without an answer from a reader of the host list after which a host
// reads it on its own.
inline constexpr std::chrono::milliseconds kHostListPatience{5'000};
// Spread of the first call of hosts that start together.
inline constexpr std::chrono::milliseconds kStartSpread{2'000};
// Least time between two checks of the published configuration by a host that
// does not wait on it; the most is twice that.
inline constexpr std::chrono::milliseconds kConfigCheckInterval{60'000};
// Least time between two notices to one peer.
inline constexpr std::chrono::milliseconds kConfigNoticeInterval{1'000};
// Time between two rounds of the fleet's work on a host.
inline constexpr std::chrono::milliseconds kFleetTick{100};
// Time between flushes of bills and counters.
inline constexpr std::chrono::milliseconds kFlushInterval{1'000};
// Least time between flushes of bills, and of counters, for each host of the
// domain: all hosts together write as often as a small domain does. Bills go
// more often, as they are lost with their host.
inline constexpr std::chrono::milliseconds kFlushIntervalPerHost{250};
inline constexpr std::chrono::milliseconds kCountersIntervalPerHost{1'000};
// Time between looks at asks that may have to be repeated.
inline constexpr std::chrono::milliseconds kAskTick{25};
// Mean time between looks for ended holders.
inline constexpr std::chrono::milliseconds kEndsInterval{10'000};
// Time that a shutdown waits for loans to be returned, and between reports.
inline constexpr std::chrono::milliseconds kLoanReturnWait{3'000};
inline constexpr std::chrono::milliseconds kShutdownReports{200};
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
