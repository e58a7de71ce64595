// The shared account of each budget: the tokens paid for and the allocation of
// each failure domain. One platform object per bucket, written by all domains.

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

// Tokens that one domain was allocated and that it returned, in all. Both
// totals only grow, so a repeated or late write never counts twice.
struct DomainAllocation {
  std::int64_t allocated = 0;
  std::int64_t returned = 0;
};

// The account of one budget. Tokens are non-negative; `declared` comes from the
// configuration of `declared_generation`.
struct BudgetAccount {
  std::int64_t declared = 0;
  std::uint64_t declared_generation = 0;
  std::int64_t topped_up = 0;
  std::vector<std::string> top_up_ids;
  std::map<std::string, DomainAllocation> domains;

  std::int64_t Paid() const;
  // Tokens not allocated to any domain. Negative after the budget was lowered
  // below what is allocated, until domains return enough.
  std::int64_t Free() const;
};

// The accounts of all budgets of one bucket, by budget.
struct AccountBucket {
  std::map<std::string, BudgetAccount> budgets;
};

std::string ToJson(const AccountBucket& bucket);
std::optional<AccountBucket> ParseAccountBucket(std::string_view text,
                                                Reason* reason);

// Sets the configured size if `generation` is newer than the account's. True if
// the account changed.
bool SetDeclared(BudgetAccount& account,
                 std::int64_t tokens,
                 std::uint64_t generation);

// Adds a top-up unless one with the same id was added before. False if nothing
// was added: the id is known, `tokens` is negative or the sum would overflow.
bool TopUp(BudgetAccount& account, std::int64_t tokens, const std::string& id);

// Allocates at most `wanted` free tokens to `domain`; returns how many.
std::int64_t Allocate(BudgetAccount& account,
                      const std::string& domain,
                      std::int64_t wanted);

// Raises the return total of `domain` to `returned_total`, at most to what was
// allocated.
void RecordReturned(BudgetAccount& account,
                    const std::string& domain,
                    std::int64_t returned_total);

// Bucket of a budget, 0..kBudgetBucketCount - 1, the same on every host.
std::uint64_t BucketOf(std::string_view budget);
// Whether `text` is the number of a bucket, as it stands in object names.
bool IsBucketNumber(std::string_view text);

// Names of the objects on the platform.
std::string AccountObjectName(std::uint64_t bucket);
std::string ShardObjectName(std::string_view domain, std::uint64_t bucket);

// Returns `left` + `right`, clamped to the range of 64 bits.
std::int64_t AddSaturated(std::int64_t left, std::int64_t right);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUDGET_ACCOUNT_H_
