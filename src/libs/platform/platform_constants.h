// Constants of the platform library.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_
#define SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Burst limit of a host: its share of calls in this many seconds, but at least
// kPlatformMinBurst calls.
inline constexpr double kPlatformBurstSeconds = 1;
inline constexpr double kPlatformMinBurst = 4;
// Calls available to a host at start, and at most after an outage.
inline constexpr double kPlatformInitialCalls = 1;
// Maximum number of queued calls of one duty, and their maximum wait.
inline constexpr std::size_t kPlatformMaxWaiting = 64;
inline constexpr std::chrono::milliseconds kPlatformMaxWait{2'000};
// Time for which an idle connection is kept for the next call. It may go silent
// meanwhile, and a call on it would then be lost.
inline constexpr std::chrono::milliseconds kPlatformMaxIdleTime{1'000};
// Consecutive failed calls after which the platform counts as unavailable.
inline constexpr int kPlatformFailuresToUnavailable = 3;
// First and longest pause between two calls while the platform is unavailable.
// Each pause is drawn at random between half and one and a half of its value.
inline constexpr std::chrono::milliseconds kPlatformFirstProbePause{500};
inline constexpr std::chrono::milliseconds kPlatformMaxProbePause{4'000};
// Limits of these pauses in a small fleet: the longest pause per host of the
// fleet, and the shortest pause.
inline constexpr std::chrono::milliseconds kPlatformMaxProbePausePerHost{10};
inline constexpr std::chrono::milliseconds kPlatformMinProbePause{50};
// Time that a call waits for the platform to become available again.
inline constexpr std::chrono::milliseconds kPlatformUnavailableWait{250};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_
