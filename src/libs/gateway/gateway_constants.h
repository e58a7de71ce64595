// Constants of the gateway library.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Time to connect to a target: failure domains are under 2 ms apart, so this is
// only reached by targets that are dark or cut off.
inline constexpr std::chrono::milliseconds kTargetConnectTimeout{250};
// Time after which a silent connection to a target is given up: two seconds
// are the least that callers wait between two events.
inline constexpr std::chrono::milliseconds kTargetSilence{1'500};
// Age at which connections to targets are renewed at the latest.
inline constexpr std::chrono::minutes kTargetConnectionAge{5};
// Time that a request waits for tokens to be granted: a write to the store
// takes 4 ms, and a busy account meets several conflicts.
inline constexpr std::chrono::milliseconds kFleetGrantWait{100};
// Time after which a request that waits for a grant is served from other hosts'
// tokens: the store is then slow or cut off, which is known for sure only when
// the call to it times out.
inline constexpr std::chrono::milliseconds kGrantPatience{30};
// What a refused caller is told to wait when nothing better is known.
inline constexpr std::chrono::milliseconds kRetryAfterBusy{300};
// The same when this host has no tokens of the budget: callers come back to
// another host, which may have some.
inline constexpr std::chrono::milliseconds kRetryAfterNoTokens{50};
// The same of a host that has just started and knows no configuration.
inline constexpr std::chrono::milliseconds kRetryAfterNoConfig{300};
// Targets that may refuse one request, without running it, before the caller
// is told to come back.
inline constexpr int kMostUnreached = 3;
// Least time that must be left of a request for it to be sent.
inline constexpr std::chrono::milliseconds kLeastTimeLeft{5};

// Hosts that are told at once of a request that crashes targets: more than
// today's fleets have, and bounded for larger ones.
inline constexpr std::size_t kMostPeersTold = 64;

// Longest wait of one watch of the store; a store that returns after it was
// silent may have forgotten the watch.
inline constexpr std::chrono::milliseconds kWatchWait{5'000};
// Pause after a call to the store that failed.
inline constexpr std::chrono::milliseconds kStorePause{300};
// How often a host compares its grants with its demand.
inline constexpr std::chrono::milliseconds kAccountTick{250};
// Time over which a host averages its demand for tokens.
inline constexpr std::chrono::seconds kFleetRateWindow{8};
// Conflicts after which a host leaves the account alone until its next tick.
inline constexpr int kMostAccountConflicts = 12;
// First pause after a conflict; drawn up to this and doubled each time.
inline constexpr std::chrono::milliseconds kAccountConflictPause{4};

// Time for which a target stays usable after the store lost its entry in an
// outage: live targets register again within two seconds of its return.
inline constexpr std::chrono::milliseconds kLapsedHold{2'000};

// Time after SIGTERM in which new connections are still taken: the balancer
// asks each second and needs two misses.
inline constexpr std::chrono::milliseconds kDrainAccept{3'000};
// Time after SIGTERM at which the process ends with whatever is still open;
// operators kill it after 8 s.
inline constexpr std::chrono::milliseconds kDrainMost{7'600};
// How often a draining host looks whether it is idle.
inline constexpr std::chrono::milliseconds kDrainPollPause{50};
// Connections of callers, and of health probes, at once: the smallest hosts
// have 2,875 descriptors for sockets.
inline constexpr std::size_t kMostCallers = 2'000;
inline constexpr std::size_t kMostProbes = 64;

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CONSTANTS_H_
