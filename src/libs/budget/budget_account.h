// The shared account of each budget: what was paid, and what each failure
// domain may use of it. One platform object per bucket, written by all domains.

#ifndef SRC_LIBS_BUDGET_BUDGET_ACCOUNT_H_
#define SRC_LIBS_BUDGET_BUDGET_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// What one domain was allocated and gave back, in tokens. Both only grow, so a
// write that was repeated or read late never counts twice.
struct DomainAllocation {
  std::int64_t allocated = 0;
  std::int64_t returned = 0;
};

// One budget. Tokens are non-negative; `declared` comes from the configuration
// of `declared_generation`.
struct BudgetAccount {
  std::int64_t declared = 0;
  std::uint64_t declared_generation = 0;
  std::int64_t topped_up = 0;
  std::vector<std::string> top_up_ids;
  std::map<std::string, DomainAllocation> domains;

  std::int64_t Paid() const;
  // Tokens that no domain holds; negative while a lowered budget is pending.
  std::int64_t Free() const;
};

// All budgets of one bucket.
struct AccountBucket {
  std::map<std::string, BudgetAccount> budgets;
};

std::string ToJson(const AccountBucket& bucket);
std::optional<AccountBucket> ParseAccountBucket(std::string_view text,
                                                Reason* reason);

// Takes over the configured size if `generation` is newer than the account's.
// True if the account changed.
bool SetDeclared(BudgetAccount& account,
                 std::int64_t tokens,
                 std::uint64_t generation);

// Adds a top-up once, however often it is repeated under the same id. False
// if it was there already or the sum would leave 64 bits.
bool TopUp(BudgetAccount& account, std::int64_t tokens, const std::string& id);

// Moves at most `wanted` free tokens to `domain`; answers how many.
std::int64_t Allocate(BudgetAccount& account,
                      const std::string& domain,
                      std::int64_t wanted);

// Takes over what `domain` gave back in all.
void RecordReturned(BudgetAccount& account,
                    const std::string& domain,
                    std::int64_t returned_total);

// Bucket of a budget, 0..kBudgetBucketCount-1, the same on every host.
std::uint64_t BucketOf(std::string_view budget);

// Names of the platform's objects.
std::string AccountObjectName(std::uint64_t bucket);
std::string ShardObjectName(std::string_view domain, std::uint64_t bucket);

// `left` + `right`, held at the ends of the range of 64 bits.
std::int64_t AddSaturated(std::int64_t left, std::int64_t right);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUDGET_ACCOUNT_H_
