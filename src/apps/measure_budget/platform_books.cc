#include "apps/measure_budget/platform_books.h"

#include "apps/measure_budget/checked_bucket.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"

namespace turmericwinch {

namespace {

using Books = std::map<std::string, BookedBudget>;

// Allocations less returns are with the domains, which AddShard looks into.
void AddAccounts(const std::string& text, Books& books) {
  Reason reason;
  const std::optional<AccountBucket> bucket = ParseAccountBucket(text, &reason);
  for (const auto& [name, account] : bucket.value().budgets) {
    BookedBudget& it = books[name];
    it.paid = account.Paid();
    it.free += account.Free();
    for (const auto& [domain, allocation] : account.domains)
      it.free += allocation.allocated - allocation.returned;
  }
}

void AddShard(const std::string& text,
              const std::set<std::string>& live,
              Books& books) {
  Reason reason;
  const std::optional<DomainShard> shard = ParseDomainShard(text, &reason);
  for (const auto& [name, budget] : shard.value().budgets) {
    BookedBudget& it = books[name];
    it.spent += budget.Spent();
    it.outstanding += budget.Outstanding();
    it.free -= budget.Spent() + budget.Outstanding();
    for (const auto& [holder, counters] : budget.holders) {
      if (live.contains(holder))
        it.outstanding_live += counters.Outstanding();
    }
  }
}

void AddChecked(const std::string& text, Books& books) {
  for (const auto& [name, budget] : CheckedBucket::Of(text).budgets) {
    books[name].spent += budget.spent;
    books[name].outstanding += budget.reserved;
  }
}

}  // namespace

Books BooksOf(const FakePlatform& platform, const std::set<std::string>& live) {
  Books books;
  for (const auto& [name, it] : platform.objects) {
    if (name.starts_with(kAccountPrefix))
      AddAccounts(it.value, books);
    else if (name.starts_with(kShardPrefix))
      AddShard(it.value, live, books);
    else if (name.starts_with(kCheckedPrefix))
      AddChecked(it.value, books);
  }
  return books;
}

}  // namespace turmericwinch
