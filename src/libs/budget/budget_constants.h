// Constants of the budget library.

#ifndef SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
#define SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Number of buckets that budgets are hashed into. Must not change, since the
// names of stored objects depend on it.
inline constexpr std::uint64_t kBudgetBucketCount = 256;
// Prefix of a bucket's shared account object, followed by the bucket's number.
inline constexpr char kAccountPrefix[] = "budget-account-";
// Prefix of a bucket's shard in one domain, followed by domain and bucket.
inline constexpr char kShardPrefix[] = "budget-shard-";
// Prefix of bill segments, followed by domain, host, incarnation and sequence.
inline constexpr char kBillPrefix[] = "bills-";
// Period of demand that a grant to a host should cover.
inline constexpr std::chrono::seconds kGrantHorizon{60};
// Period of demand that an allocation to a domain should cover.
inline constexpr std::chrono::seconds kAllocationHorizon{600};
// Time without a request after which a host gives a grant back.
inline constexpr std::chrono::seconds kGrantIdleTime{30};
// Window over which a host averages the demand of its requests, and a lender
// the demand of its borrowers.
inline constexpr std::chrono::seconds kRateWindow{30};
inline constexpr std::chrono::seconds kLentRateWindow{600};
// Period of demand that a lender's stock should cover, and the time without a
// loan after which the lender gives its stock back.
inline constexpr std::chrono::seconds kStockHorizon{10'800};
inline constexpr std::chrono::seconds kStockIdleTime{1'800};
// Share of the stock below which a lender refills it with its next write.
inline constexpr double kLowStockShare = 0.5;
// A budget is scarce once its free tokens fall below kScarcePercent of the paid
// tokens; all stocks together may then hold at most kScarceStockPercent.
inline constexpr int kScarcePercent = 10;
inline constexpr int kScarceStockPercent = 1;
// Percentage of free tokens below which a lender rereads the account at each
// flush.
inline constexpr int kNearlyScarcePercent = 25;
// Minimum time for which the end of a closed holder stays recorded.
inline constexpr std::chrono::milliseconds kEndedHolderRetention{24 *
                                                                 3'600'000};
// Prefix of the object with the ended holders of a failure domain, followed by
// the domain.
inline constexpr char kEndedHoldersPrefix[] = "budget-ends-";
// First pause before a loan request is repeated, and the time after which a
// host without a response draws tokens itself.
inline constexpr std::chrono::milliseconds kLoanRequestRetryPause{150};
inline constexpr std::chrono::milliseconds kLoanRequestTimeout{500};
// Time for which a lender that did not respond gets no loan requests.
inline constexpr std::chrono::milliseconds kLenderBackoff{5'000};
// Time for which a lender keeps a loan request that it cannot meet yet.
inline constexpr std::chrono::milliseconds kPendingLoanRequestTime{1'500};
// Limit of budgets in one loan request or response.
inline constexpr std::size_t kMaxLoanItems = 1'000;
// Top-up ids that an account keeps, to count a repeated top-up once.
inline constexpr std::size_t kMaxTopUpIds = 64;
// Limit of bills, with open reservations, that a host keeps unconfirmed.
inline constexpr std::size_t kMaxUnconfirmedBills = 200'000;
// Limit of bills in one segment object.
inline constexpr std::size_t kMaxBillsPerSegment = 4'000;
// Attempts per round to write objects that other hosts write at the same time.
inline constexpr int kMaxWriteAttempts = 20;
// Pause before the first retry of a write; the n-th retry waits n times as
// long.
inline constexpr std::chrono::milliseconds kWriteRetryPause{2};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
