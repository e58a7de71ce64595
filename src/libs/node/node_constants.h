// Constants of the node library.

#ifndef SRC_LIBS_NODE_NODE_CONSTANTS_H_
#define SRC_LIBS_NODE_NODE_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Longest wait of one watch on the platform.
inline constexpr std::chrono::milliseconds kWatchTimeout{10'000};
// First and longest pause after a failed call to the platform.
inline constexpr std::chrono::milliseconds kMinPlatformRetryPause{100};
inline constexpr std::chrono::milliseconds kMaxPlatformRetryPause{2'000};
// Time between two tries to get the host list, each drawn between half of it
// and one and a half; so are the next two.
inline constexpr std::chrono::milliseconds kHostListFetchInterval{1'000};
// Time between two asks of a peer whether changes were missed, and between two
// whole readings by a reader.
inline constexpr std::chrono::milliseconds kHostListPeerCheckInterval{15'000};
inline constexpr std::chrono::milliseconds kHostListFullReadInterval{600'000};
// Age of the platform's word up to which a lower version counts as newer.
inline constexpr std::chrono::milliseconds kHostListMaxFreshAge{15'000};
// Age that stands for none.
inline constexpr std::chrono::milliseconds kHostListUnknownAge{1'000'000'000};
// Bytes of the list's text in one frame, and in all.
inline constexpr std::size_t kHostListMaxPartBytes = 64 * 1024;
inline constexpr std::size_t kHostListMaxBytes = 16 * 1024 * 1024;
// Hosts of a failure domain that read the host list, and that wait on the
// published configuration.
inline constexpr std::size_t kHostListReaders = 2;
inline constexpr std::size_t kConfigWatchers = 2;
// Time without an answer from a reader of the host list after which a host
// reads it on its own.
inline constexpr std::chrono::milliseconds kHostListReaderTimeout{5'000};
// Spread of the first call of hosts that start together.
inline constexpr std::chrono::milliseconds kMaxStartDelay{2'000};
// Least time between two checks of the published configuration by a host that
// does not wait on it; the most is twice that.
inline constexpr std::chrono::milliseconds kConfigCheckInterval{60'000};
// Least time between two notices to one peer.
inline constexpr std::chrono::milliseconds kConfigNoticeInterval{1'000};
// Time between two rounds of the fleet's work on a host.
inline constexpr std::chrono::milliseconds kFleetRoundInterval{100};
// Time between flushes of bills and counters.
inline constexpr std::chrono::milliseconds kFlushInterval{1'000};
// Least time between flushes of bills, and of counters, for each host of the
// domain: all hosts together write as often as a small domain does. Bills go
// more often, as they are lost with their host.
inline constexpr std::chrono::milliseconds kFlushIntervalPerHost{250};
inline constexpr std::chrono::milliseconds kCountersIntervalPerHost{1'000};
// Time between looks at asks that may have to be repeated.
inline constexpr std::chrono::milliseconds kLoanRequestCheckInterval{25};
// Mean time between looks for ended holders.
inline constexpr std::chrono::milliseconds kEndedHolderCheckInterval{10'000};
// Time that a shutdown waits for loans to be returned, and between reports.
inline constexpr std::chrono::milliseconds kLoanReturnTimeout{3'000};
inline constexpr std::chrono::milliseconds kShutdownReportInterval{200};
// Longest time that a request waits for a grant.
inline constexpr std::chrono::milliseconds kGrantTimeout{1'500};
// Time for which a budget that was found exhausted is refused without asking.
inline constexpr std::chrono::milliseconds kDenialCacheTime{500};
// Attempts of a repeatable request on different targets.
inline constexpr int kMaxTargetAttempts = 3;
// Connections that one host accepts from callers.
inline constexpr std::size_t kMaxCallerConnections = 20'000;
// Tokens that the chat format adds to each message at most.
inline constexpr int kTokensPerMessage = 8;
// Finished requests that a host remembers for operators.
inline constexpr std::size_t kMaxLoggedRequests = 4096;
// Time that an answer waits for the record of its claim.
inline constexpr std::chrono::milliseconds kClaimSettleTimeout{250};
// Claims whose end waits for the platform, and the bytes of their answers.
inline constexpr std::uint64_t kMaxUnsettledClaims = 2'048;
inline constexpr std::uint64_t kMaxUnsettledBytes = 8 * 1024 * 1024;
// Time between two looks for old claims, each at a 256th of them.
inline constexpr std::chrono::seconds kClaimSweepInterval{60};
// Hosts of each other domain that are told of a lost target, and hosts of a
// domain that read the verdicts in the platform.
inline constexpr int kNoticeRelays = 2;
inline constexpr std::size_t kVerdictReaders = 1;
// Time between these readings.
inline constexpr std::chrono::milliseconds kVerdictInterval{5'000};
// Time for a graceful shutdown.
inline constexpr std::chrono::milliseconds kShutdownDeadline{30'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_CONSTANTS_H_
