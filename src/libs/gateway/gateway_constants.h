// Constants of the gateway library.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Timeout of a connect to a target. The round trip between failure domains is
// under 2 ms, so only targets that are down or cut off reach it.
inline constexpr std::chrono::milliseconds kGatewayTargetConnectTimeout{250};
// Time without data after which a connection to a target counts as broken.
// Callers wait at least 2 s between two events.
inline constexpr std::chrono::milliseconds kTargetSilenceTimeout{1'500};
// Bytes of a stream without a new event, and of a refusal's body, after which a
// target counts as failed. An event holds a few tokens.
inline constexpr std::size_t kMaxBytesWithoutEvent = 256 * 1024;
inline constexpr std::size_t kMaxRefusalBytes = 64 * 1024;
// Time for which the body of a refusal is read.
inline constexpr std::chrono::milliseconds kMaxRefusalTime{250};
// Bytes of responses that a host buffers for all calls together, and the bytes
// of each response that do not count. The smallest hosts have 120 MB.
inline constexpr std::size_t kMaxResponseMemory = 16 * 1024 * 1024;
inline constexpr std::size_t kFreeResponseBytes = 16 * 1024;
// Maximum age of a connection to a target.
inline constexpr std::chrono::minutes kMaxTargetConnectionAge{5};
// Time that a request waits for a grant of tokens. A write to the store takes
// 4 ms, and a busy account causes several write conflicts.
inline constexpr std::chrono::milliseconds kGatewayGrantTimeout{100};
// Time without a grant after which a waiting request borrows from other hosts.
// The store is then slow or cut off, which the call to it would show only when
// it times out.
inline constexpr std::chrono::milliseconds kBorrowDelay{30};
// Default wait before a retry that is sent to a refused caller.
inline constexpr std::chrono::milliseconds kRetryAfterBusy{300};
// Wait before a retry when this host has no tokens of the budget. The retry
// reaches another host, which may have some.
inline constexpr std::chrono::milliseconds kRetryAfterNoTokens{50};
// Wait before a retry when this host has just started and has no configuration.
inline constexpr std::chrono::milliseconds kRetryAfterNoConfig{300};
// Wait before a retry when all targets of the service are in evacuated failure
// domains: another host has no others, and evacuations last for seconds at
// least.
inline constexpr std::chrono::milliseconds kRetryAfterEvacuated{1'000};
// Names of evacuations without a failure domain that a host remembers, so that
// other writers of the store can't fill its memory or its log.
inline constexpr std::size_t kMaxUnknownEvacuations = 64;
// Hosts of the whole fleet to which a host that reads the store sends the
// evacuations with each kNewsInterval. They reach hosts whose failure domain is
// cut off from the store.
inline constexpr std::size_t kEvacuationListeners = 2;
// Number of targets that one request may fail to reach before it is refused
// and the caller is asked to retry.
inline constexpr int kMaxUnreachedTargets = 3;
// A request is sent to a target only if at least this time is left.
inline constexpr std::chrono::milliseconds kMinTimeLeft{5};

// Prompt parts of one request that a log line names.
inline constexpr std::size_t kMaxLoggedPromptParts = 8;

// Events of a stream after which its answer counts as begun in the quarantine
// of prompt parts.
inline constexpr std::int64_t kEventsOfBegunAnswer = 3;
// Interval at which a host sends its verdicts on requests and prompt parts to
// other hosts, and the number of hosts that it sends them to.
inline constexpr std::chrono::milliseconds kQuarantineResendInterval{1'000};
inline constexpr std::size_t kQuarantineResendPeers = 8;
// Quarantined requests that are sent in one interval, those with the longest
// time left first.
inline constexpr std::size_t kMaxResentRequests = 64;

// Interval at which hosts tell each other of rate limits and their demand, the
// window over which the demand is averaged, and the time for which that of
// another host counts.
inline constexpr std::chrono::milliseconds kRateShareInterval{500};
inline constexpr std::chrono::seconds kServiceDemandWindow{4};
inline constexpr std::chrono::milliseconds kPeerDemandHold{3'000};

// Time by which the stored end of a quarantine may be too early.
inline constexpr std::chrono::milliseconds kStoredHoldSlack{10'000};

// Maximum duration of one watch call for the configuration or the targets. The
// connection of a watch may have gone silent, and a store may have lost it: a
// change that it should have reported is known after this time, the time that
// an answer may take and kStoreRetryPause. Hosts in touch must follow a change
// within 2 s, and count as in touch 3 s after connections went silent.
inline constexpr std::chrono::milliseconds kMaxWatchWait{1'500};
// The same for the quarantine, of which the hosts notify each other.
inline constexpr std::chrono::milliseconds kQuarantineWatchWait{5'000};
// Maximum time for which a host waits for news before it looks at what else is
// due.
inline constexpr std::chrono::milliseconds kMaxNewsWait{5'000};
// Minimum time between the starts of two watch calls for the targets, or for
// the quarantined prompt parts. A target that leaves serves for 2 s more, and
// the list is that much older at most.
inline constexpr std::chrono::milliseconds kMinWatchInterval{200};
// The same for each host of the fleet, and its upper bound, for a host that
// reads for itself only.
inline constexpr std::chrono::milliseconds kWatchIntervalPerHost{8};
inline constexpr std::chrono::milliseconds kMaxWatchInterval{800};
// Smallest number of hosts in a failure domain that read the store through each
// other's news.
inline constexpr std::size_t kMinHostsForReaders = 5;
// Interval at which a host that reads the store for others sends them news.
inline constexpr std::chrono::milliseconds kNewsInterval{400};
// Maximum duration of the watches of such a host. Their answers show that
// nothing has changed.
inline constexpr std::chrono::milliseconds kReaderWatchWait{500};
// Time after an answer of the store for which news of it are valid. It covers
// kReaderWatchWait, kNewsInterval and the delay of the frames. If its reader
// ends, a host learns of a change up to this much later.
inline constexpr std::chrono::milliseconds kMaxNewsAge{1'400};
// Time for which a host waits for news, for each host before it in rank, before
// it reads for the others.
inline constexpr std::chrono::milliseconds kTakeOverDelay{600};
// Hosts after the first in rank that are ready to take over at once.
inline constexpr std::size_t kNextReaders = 2;
// Bounds of the number of hosts by which the pauses between calls to a store
// that does not answer are chosen.
inline constexpr std::size_t kMinProbingHosts = 10;
inline constexpr std::size_t kMaxProbingHosts = 100;
// Pause before the store is called again after a failed call.
inline constexpr std::chrono::milliseconds kStoreRetryPause{300};
// Interval at which a host logs the number of its calls to the store.
inline constexpr std::chrono::seconds kCallLogInterval{10};
// Interval at which a host compares its grants with its demand.
inline constexpr std::chrono::milliseconds kAccountSyncInterval{250};
// Interval at which a host that has nothing to write reads the account, to
// learn of the hosts that keep stocks. It doubles from the first value, as
// hosts of a fleet start together, to the second.
inline constexpr std::chrono::milliseconds kFirstAccountRefresh{1'000};
inline constexpr std::chrono::milliseconds kMaxAccountRefresh{8'000};
// Time for which a host keeps a stock after others borrowed tokens that it had
// to draw.
inline constexpr std::chrono::seconds kLenderRoleTime{5};
// Window over which a host averages its demand for tokens.
inline constexpr std::chrono::seconds kDemandWindow{8};
// Write conflicts after which a host stops writing an object of the store for
// now.
inline constexpr int kMaxWriteConflicts = 12;

// Time for which a target stays usable after its entry expired during an outage
// of the store. Live targets register again within 2 s of the store's return.
inline constexpr std::chrono::milliseconds kExpiredTargetGracePeriod{2'000};
// Time for which a removed target is remembered. Copies from which the store
// comes back are some seconds old.
inline constexpr std::chrono::seconds kRemovedTargetMemory{120};
// Time after which a target that a restored store lists is known to live: the
// store removes entries after three missed heartbeats of 1.2 s.
inline constexpr std::chrono::milliseconds kRestoredEntryTime{5'000};

// Time after SIGTERM in which new connections are still accepted. The load
// balancer probes every second and removes a host after two failed probes.
inline constexpr std::chrono::milliseconds kDrainAcceptTime{3'000};
// Time after SIGTERM from which on no request waits for a target any more: the
// answer to it might not come before the process ends.
inline constexpr std::chrono::milliseconds kDrainWaitTime{6'000};
// Time after SIGTERM at which the process ends even if requests are active.
// Operators kill it after 8 s.
inline constexpr std::chrono::milliseconds kMaxDrainTime{7'600};
// Interval at which a draining host checks whether requests are active.
inline constexpr std::chrono::milliseconds kDrainPollInterval{50};
// Maximum number of open connections of callers, and of each listener for
// probes and operators. The smallest hosts have 2,875 file descriptors for
// sockets.
inline constexpr std::size_t kGatewayMaxCallerConnections = 2'000;
inline constexpr std::size_t kMaxProbeConnections = 64;

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_
