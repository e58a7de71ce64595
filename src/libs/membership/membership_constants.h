// Constants of the membership library.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Time between two probes by one host.
inline constexpr std::chrono::milliseconds kProbePeriod{1'000};
// Time for a direct answer before others are asked to probe.
inline constexpr std::chrono::milliseconds kProbeTimeout{300};
// Members asked to probe indirectly.
inline constexpr std::size_t kIndirectProbes = 3;
// Probe periods that a suspicion lasts, multiplied by log2 of the members.
inline constexpr double kSuspicionPeriods = 1.5;
// Sends of one change by one host, multiplied by log2 of the members.
inline constexpr int kChangeSends = 3;
// Changes in one message.
inline constexpr std::size_t kChangesPerMessage = 8;
// Members in one message of a table exchange.
inline constexpr std::size_t kMembersPerTable = 1'024;
// Time between two exchanges of whole tables by one host.
inline constexpr std::chrono::milliseconds kTableExchangePeriod{60'000};
// Time between attempts to reach an address that is only known from settings.
inline constexpr std::chrono::milliseconds kSeedPeriod{2'000};
// Hosts of a failure domain that also probe other domains.
inline constexpr std::size_t kGatewaysPerDomain = 3;
// A gap between ticks after which the host counts itself as paused.
inline constexpr std::chrono::milliseconds kPauseThreshold{2'000};
// Time after which a dead or departed member is forgotten.
inline constexpr std::chrono::milliseconds kMemberRetention{600'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_
