// Constants of the simulation.

#ifndef SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_
#define SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// The popularity of the n-th budget is 1 / n to this power.
inline constexpr double kPopularityExponent = 1.1;
// Share of the budgets, the most popular ones, whose requests arrive equally in
// all failure domains.
inline constexpr double kBusyShare = 0.1;
// Range of a request's bound in tokens, and of the share of the bound that the
// request uses.
inline constexpr double kMinBound = 300;
inline constexpr double kMaxBound = 1'200;
inline constexpr double kMinUse = 0.1;
inline constexpr double kMaxUse = 0.764;
// Mean number of tokens that a request uses.
inline constexpr double kMeanUsedTokens =
    (kMinBound + kMaxBound) / 2 * (kMinUse + kMaxUse) / 2;
// Seconds between tokens of a stream.
inline constexpr double kSecondsPerToken = 0.028;
// Duration of a call to the platform in seconds, half of it each way, and of a
// call whose answer never arrives.
inline constexpr double kCallRoundTripSeconds = 0.02;
inline constexpr double kLostCallSeconds = 1;
// Latency in seconds of a message between hosts of a failure domain.
inline constexpr double kPeerLatencySeconds = 0.001;
// Seconds between checks of pending loan requests.
inline constexpr double kLoanRetryTickSeconds = 0.025;
// Share of the calls whose answer is lost, and of those that are lost
// themselves.
inline constexpr double kLossShare = 0.0005;
// Maximum seconds that a request waits for a grant, and the seconds for which a
// denial stays in force.
inline constexpr double kGrantWaitSeconds = 1.5;
inline constexpr double kDenialSeconds = 0.5;
// Bytes of a call or a message besides its value: names and headers.
inline constexpr std::size_t kCallBytes = 250;
inline constexpr std::size_t kMessageBytes = 104;
// Memory of a budget in a ledger (docs/CAPACITY.md) and of an unwritten bill.
inline constexpr std::size_t kLedgerBudgetBytes = 256;
inline constexpr std::size_t kBillBytes = 256;
// Requests per second of one host at the target size of a fleet.
inline constexpr double kHostRate = 2'500.0 / 420;
// A budget counts as nearly used up once at most this share of it is left.
inline constexpr double kAtEndShare = 0.02;
// Host crashes per day.
inline constexpr int kHostCrashes = 25;
// Number of checks per run that no budget is overspent.
inline constexpr int kBoundChecks = 10;
// Seconds between the final rounds, in which hosts give back all tokens, and
// the number of these rounds. A grant whose answer was lost is found in the
// first round and can be given back only in a later one.
inline constexpr double kQuiesceSeconds = 60;
inline constexpr int kQuiesceRounds = 4;

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_
