// Constants of the budget library.

#ifndef SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
#define SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Buckets that budgets fall into by hash. Fixed: the names of the platform's
// objects depend on it.
inline constexpr std::uint64_t kBudgetBuckets = 256;
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
inline constexpr std::chrono::seconds kGrantIdle{30};
// Top-up ids that an account remembers, to count a repeated one once.
inline constexpr std::size_t kTopUpsRemembered = 64;
// Bills that a host keeps at most until they are confirmed.
inline constexpr std::size_t kMostUnconfirmedBills = 200'000;
// Bills of one segment object.
inline constexpr std::size_t kBillsPerSegment = 4'000;
// Writes of a bucket that are tried in one turn, when others write it too.
inline constexpr int kSyncAttempts = 20;
// Pause before the first repeated write; the n-th waits n times as long.
inline constexpr std::chrono::milliseconds kSyncPause{2};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUDGET_CONSTANTS_H_
