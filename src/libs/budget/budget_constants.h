// Constants of the budget library.

#ifndef SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
#define SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Buckets that budgets fall into by hash. Fixed: the names of the platform's
// objects depend on it.
inline constexpr std::uint64_t kBudgetBucketCount = 256;
// Prefix of a bucket's shared account object; the bucket's number follows.
inline constexpr char kAccountPrefix[] = "budget-account-";
// Prefix of a bucket's shard in one domain; domain and bucket follow.
inline constexpr char kShardPrefix[] = "budget-shard-";
// Prefix of bill segments; domain, host, incarnation and sequence follow.
inline constexpr char kBillPrefix[] = "bills-";
// Time of demand that a grant to a host is meant to last.
inline constexpr std::chrono::seconds kGrantHorizon{60};
// Time of demand that an allocation to a domain is meant to last.
inline constexpr std::chrono::seconds kAllocationHorizon{600};
// Time without a request after which a host gives a grant back.
inline constexpr std::chrono::seconds kGrantIdleTime{30};
// Time over which a host averages the demand of its requests, and a lender that
// of its borrowers.
inline constexpr std::chrono::seconds kRateWindow{30};
inline constexpr std::chrono::seconds kLentRateWindow{600};
// Time of demand that a lender's stock is meant to last, and the time without
// a loan after which it gives the stock back.
inline constexpr std::chrono::seconds kStockHorizon{10'800};
inline constexpr std::chrono::seconds kStockIdleTime{1'800};
// Share of that stock below which a lender fills it up with its next write.
inline constexpr double kLowStockShare = 0.5;
// A budget is scarce once its free tokens are below this share of what was
// paid; all stocks together then keep at most the second share.
inline constexpr int kScarcePercent = 10;
inline constexpr int kScarceStockPercent = 1;
// Below this share a lender reads the account anew at each flush.
inline constexpr int kNearlyScarcePercent = 25;
// Time for which a closed end is remembered at least.
inline constexpr std::chrono::milliseconds kEndedHolderRetention{24 *
                                                                 3'600'000};
// Object of a failure domain with the holders that ended; the domain follows.
inline constexpr char kEndedHoldersPrefix[] = "budget-ends-";
// First pause before an ask is repeated, and the time after which a host that
// got no answer draws for itself.
inline constexpr std::chrono::milliseconds kLoanRequestRetryPause{150};
inline constexpr std::chrono::milliseconds kLoanRequestTimeout{500};
// Time for which a lender that did not answer is not asked.
inline constexpr std::chrono::milliseconds kLenderBackoff{5'000};
// Time for which a lender keeps an ask that it cannot meet yet.
inline constexpr std::chrono::milliseconds kPendingLoanRequestTime{1'500};
// Budgets in one ask or answer.
inline constexpr std::size_t kMaxLoanItems = 1'000;
// Top-up ids that an account remembers, to count a repeated one once.
inline constexpr std::size_t kMaxTopUpIds = 64;
// Bills that a host keeps at most until they are confirmed.
inline constexpr std::size_t kMaxUnconfirmedBills = 200'000;
// Bills of one segment object.
inline constexpr std::size_t kMaxBillsPerSegment = 4'000;
// Writes of a bucket that are tried in one turn, when others write it too.
inline constexpr int kMaxWriteAttempts = 20;
// Pause before the first repeated write; the n-th waits n times as long.
inline constexpr std::chrono::milliseconds kWriteRetryPause{2};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
