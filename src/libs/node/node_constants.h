// Constants of the node library.

#ifndef SRC_LIBS_NODE_NODE_CONSTANTS_H_
#define SRC_LIBS_NODE_NODE_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Longest time that one watch request to the platform stays open.
inline constexpr std::chrono::milliseconds kWatchTimeout{10'000};
// First and longest pause before a failed call to the platform is retried.
inline constexpr std::chrono::milliseconds kMinPlatformRetryPause{100};
inline constexpr std::chrono::milliseconds kMaxPlatformRetryPause{2'000};
// Mean time between two attempts to get the host list. Like the next two
// intervals, each wait is drawn at random from 0.5 to 1.5 times this value.
inline constexpr std::chrono::milliseconds kHostListFetchInterval{1'000};
// Mean time between two checks with a peer for missed changes, and between two
// full reads of the list from the platform by a reader.
inline constexpr std::chrono::milliseconds kHostListPeerCheckInterval{15'000};
inline constexpr std::chrono::milliseconds kHostListFullReadInterval{600'000};
// A part of the list that the platform confirmed within this time is accepted
// even if its version is lower than the known one.
inline constexpr std::chrono::milliseconds kHostListMaxFreshAge{15'000};
// Age of a list that was never confirmed, and the upper bound of known ages.
inline constexpr std::chrono::milliseconds kHostListUnknownAge{1'000'000'000};
// Maximum size of the list's text in one frame, and in total.
inline constexpr std::size_t kHostListMaxPartBytes = 64 * 1024;
inline constexpr std::size_t kHostListMaxBytes = 16 * 1024 * 1024;
// Number of hosts in a failure domain that read the host list from the
// platform, and number that watch the published configuration there.
inline constexpr std::size_t kHostListReaders = 2;
inline constexpr std::size_t kConfigWatchers = 2;
// A host that gets no answer from the readers of the host list for this time
// reads the list from the platform itself.
inline constexpr std::chrono::milliseconds kHostListReaderTimeout{5'000};
// Upper bound of the random delay that separates hosts started together.
inline constexpr std::chrono::milliseconds kMaxStartDelay{2'000};
// Minimum time between two checks of the published configuration by a host that
// does not watch it; the maximum is twice this value.
inline constexpr std::chrono::milliseconds kConfigCheckInterval{60'000};
// Minimum time between two configuration notices to the same peer.
inline constexpr std::chrono::milliseconds kConfigNoticeInterval{1'000};
// Time between two rounds of a host's periodic exchange with the fleet.
inline constexpr std::chrono::milliseconds kFleetRoundInterval{100};
// Default time between flushes of bills and counters to the store.
inline constexpr std::chrono::milliseconds kFlushInterval{1'000};
// Minimum time between flushes of bills and of counters, multiplied by the
// number of hosts in the domain, so that a large domain writes no more often in
// total than a small one. Bills are flushed more often because unflushed bills
// are lost if their host fails.
inline constexpr std::chrono::milliseconds kFlushIntervalPerHost{250};
inline constexpr std::chrono::milliseconds kCountersIntervalPerHost{1'000};
// Time between checks for loan requests that are due or must be repeated.
inline constexpr std::chrono::milliseconds kLoanRequestCheckInterval{25};
// Mean time between checks for ended holders.
inline constexpr std::chrono::milliseconds kEndedHolderCheckInterval{10'000};
// Time that a shutdown waits until loans are returned, and time between its
// reports.
inline constexpr std::chrono::milliseconds kLoanReturnTimeout{3'000};
inline constexpr std::chrono::milliseconds kShutdownReportInterval{200};
// Maximum time that a request waits for a grant.
inline constexpr std::chrono::milliseconds kGrantTimeout{1'500};
// Time for which requests are refused without asking again after a budget was
// found exhausted or out of reach.
inline constexpr std::chrono::milliseconds kDenialCacheTime{500};
// Maximum number of attempts of one request.
inline constexpr int kMaxTargetAttempts = 3;
// Maximum number of connections that one host accepts from callers.
inline constexpr std::size_t kMaxCallerConnections = 20'000;
// Maximum number of tokens that the chat format adds to each message.
inline constexpr int kTokensPerMessage = 8;
// Number of finished requests that a host keeps for operators.
inline constexpr std::size_t kMaxLoggedRequests = 4096;
// Maximum time that an answer is held back until its claim is settled.
inline constexpr std::chrono::milliseconds kClaimSettleTimeout{250};
// Maximum number of claims whose outcome is not yet written to the platform,
// and maximum total size of their answers.
inline constexpr std::uint64_t kMaxUnsettledClaims = 2'048;
inline constexpr std::uint64_t kMaxUnsettledBytes = 8 * 1024 * 1024;
// Time between two sweeps for old claims; each sweep covers 1/256 of all
// claims.
inline constexpr std::chrono::seconds kClaimSweepInterval{60};
// Number of hosts in each other domain that receive a notice about a lost
// target, and number of hosts in a domain that read verdicts from the platform.
inline constexpr int kNoticeRelays = 2;
inline constexpr std::size_t kVerdictReaders = 1;
// Time between two reads of the verdicts.
inline constexpr std::chrono::milliseconds kVerdictInterval{5'000};
// Maximum duration of a graceful shutdown.
inline constexpr std::chrono::milliseconds kShutdownDeadline{30'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_NODE_CONSTANTS_H_
