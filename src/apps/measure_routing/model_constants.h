// Constants of the queueing model.

#ifndef SRC_APPS_MEASURE_ROUTING_MODEL_CONSTANTS_H_
#define SRC_APPS_MEASURE_ROUTING_MODEL_CONSTANTS_H_

#include <cstddef>

namespace turmericwinch {

// Targets of the failure domain, a third each at full, half and quarter speed.
inline constexpr std::size_t kModelTargets = 24;
// One step of an engine at full speed: fixed part, part of each running
// request and part of each prompt token read, in seconds.
inline constexpr double kStepSeconds = 0.003;
inline constexpr double kStepSecondsPerRequest = 0.00005;
inline constexpr double kStepSecondsPerPromptToken = 0.000025;
// Prompt tokens that an engine reads in one step.
inline constexpr double kStepPromptTokens = 128;
// Requests that an engine at full speed runs at once.
inline constexpr std::size_t kFullSpeedSlots = 64;
// Shared prefixes that an engine's cache holds.
inline constexpr std::size_t kCachedPrefixes = 8;
// Time between load reports, in seconds.
inline constexpr double kReportInterval = 0.1;
// Bytes of one poll of a load report, headers of TCP and IP included, and bytes
// a second that a host may spend on them.
inline constexpr double kPollBytes = 300;
inline constexpr double kPolledBytes = 2'000;

// Share of lookups, their manifests and sizes in tokens.
inline constexpr double kLookupShare = 0.3;
inline constexpr std::size_t kManifests = 64;
inline constexpr double kManifestTokens = 6'000;
inline constexpr double kSheetTokens = 200;
inline constexpr double kLookupOutput = 60;
// Sizes of a chat in tokens.
inline constexpr double kChatTokens = 150;
inline constexpr double kChatOutput = 120;

// Simulated times, in seconds. Requests before the warm-up's end do not count.
inline constexpr double kWarmUpSeconds = 20;
inline constexpr double kMeasuredSeconds = 120;
// Teams beside the one that floods, start of the flood and longest wait of a
// request in a host.
inline constexpr std::size_t kCalmTeams = 16;
inline constexpr double kFloodStart = 10;
inline constexpr double kFloodPatience = 10;
// Share of the capacity that the calm teams ask for.
inline constexpr double kCalmLoad = 0.5;
// Requests kept at each target when the capacity is measured.
inline constexpr int kSaturatingRequests = 32;

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_MODEL_CONSTANTS_H_
