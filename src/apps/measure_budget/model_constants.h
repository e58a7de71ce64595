// Constants of the model.

#ifndef SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_
#define SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_

#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Popularity of the n-th budget is 1 / n to this power.
inline constexpr double kPopularityPower = 1.1;
// Share of the budgets, the most popular, that every domain draws on alike.
inline constexpr double kBusyShare = 0.1;
// Bounds of a request in tokens, and the share of its bound that it uses.
inline constexpr double kLeastBound = 300;
inline constexpr double kMostBound = 1'200;
inline constexpr double kLeastUse = 0.1;
inline constexpr double kMostUse = 0.764;
// Mean tokens that a request uses.
inline constexpr double kMeanUse =
    (kLeastBound + kMostBound) / 2 * (kLeastUse + kMostUse) / 2;
// Seconds between tokens of a stream.
inline constexpr double kTokenSeconds = 0.028;
// Seconds of a call to the platform, half of it each way, and of one whose
// answer never comes.
inline constexpr double kCallSeconds = 0.02;
inline constexpr double kLostSeconds = 1;
// Seconds that a message between hosts of a domain takes.
inline constexpr double kPeerSeconds = 0.001;
// Seconds between looks at asks that are open.
inline constexpr double kAskTickSeconds = 0.025;
// Share of the calls of which the answer, or the call itself, is lost.
inline constexpr double kLossShare = 0.0005;
// Seconds that a request waits for a grant, and that a refusal holds.
inline constexpr double kGrantWaitSeconds = 1.5;
inline constexpr double kDenialSeconds = 0.5;
// Bytes of a call or a message beside its value: names, headers.
inline constexpr std::size_t kCallBytes = 250;
inline constexpr std::size_t kMessageBytes = 104;
// Memory of a budget in a ledger (docs/CAPACITY.md) and of an unwritten bill.
inline constexpr std::size_t kLedgerBudgetBytes = 256;
inline constexpr std::size_t kBillBytes = 256;
// Requests a second of a host at the target size.
inline constexpr double kHostRate = 2'500.0 / 420;
// A budget is at its end once this share of it is left.
inline constexpr double kLastShare = 0.02;
// Deaths of a day.
inline constexpr int kDeaths = 25;
// Times in a run at which the bound on all tokens is checked.
inline constexpr int kBoundChecks = 10;
// Seconds between the rounds in which hosts give back all at the end, and how
// many there are: a grant whose answer was lost is found at the first.
inline constexpr double kQuiesceSeconds = 60;
inline constexpr int kQuiesceRounds = 4;

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_MODEL_CONSTANTS_H_
