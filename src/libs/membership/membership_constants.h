// Constants of the membership library.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Time between two probes sent by one host.
inline constexpr std::chrono::milliseconds kProbePeriod{1'000};
// Time without an answer after which other hosts are asked to probe the target.
inline constexpr std::chrono::milliseconds kProbeTimeout{300};
// Number of members that are asked to probe a target indirectly.
inline constexpr std::size_t kIndirectProbes = 3;
// Duration of a suspicion in probe periods; multiplied by log2 of the number of
// members.
inline constexpr double kSuspicionPeriods = 1.5;
// How often a host sends one change; multiplied by log2 of the number of
// members.
inline constexpr int kChangeSends = 3;
// Maximum changes in one message.
inline constexpr std::size_t kChangesPerMessage = 8;
// Maximum members in one message of a table exchange.
inline constexpr std::size_t kMembersPerTable = 1'024;
// Mean time between two exchanges of whole tables by one host.
inline constexpr std::chrono::milliseconds kTableExchangePeriod{60'000};
// Time between attempts to contact seed addresses at which no host is known
// yet.
inline constexpr std::chrono::milliseconds kSeedPeriod{2'000};
// Hosts of each failure domain that also probe other domains.
inline constexpr std::size_t kGatewaysPerDomain = 3;
// Time between two ticks above which the process is considered to have been
// paused.
inline constexpr std::chrono::milliseconds kPauseThreshold{2'000};
// Time after which a dead member, or one that left, is removed from the table.
inline constexpr std::chrono::milliseconds kMemberRetention{600'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_CONSTANTS_H_
