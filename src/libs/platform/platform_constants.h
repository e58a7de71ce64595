// Constants of the platform library.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_
#define SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Calls that a host may have saved up: what its share yields in this time, and
// at least so many.
inline constexpr double kPlatformBurstSeconds = 1;
inline constexpr double kPlatformLeastBurst = 4;
// Calls that a host has saved up when it starts, and after an outage at most.
inline constexpr double kPlatformFirstCalls = 1;
// Calls of one duty that wait for their turn, and the longest wait.
inline constexpr std::size_t kPlatformMostWaiting = 64;
inline constexpr std::chrono::milliseconds kPlatformMostWait{2'000};
// Calls in a row without an answer after which the platform counts as away.
inline constexpr int kPlatformFailuresToAway = 3;
// First and longest time between two calls while it is away; each is drawn
// between half of it and one and a half.
inline constexpr std::chrono::milliseconds kPlatformAwayFirst{500};
inline constexpr std::chrono::milliseconds kPlatformAwayMost{4'000};
// The same of a small fleet: the longest for each of its hosts, and the least.
inline constexpr std::chrono::milliseconds kPlatformAwayMostPerHost{10};
inline constexpr std::chrono::milliseconds kPlatformAwayLeast{50};
// Time that a call waits for the platform to come back.
inline constexpr std::chrono::milliseconds kPlatformAwayWait{250};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_CONSTANTS_H_
