// Decides how what a failure domain returned gets into the accounts. Free of
// I/O, clocks and threads.

#ifndef SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_
#define SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/budget/budget_account.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

// Totals of a domain's shards that the accounts do not have yet. They only
// grow, so a repeated or late write of one changes nothing.
class AccountReturns {
 public:
  explicit AccountReturns(std::string domain);

  // Notes that the domain's shard has `returned` in all. To be called only once
  // the platform has that shard.
  void AddReturned(const std::string& budget, std::int64_t returned);
  bool empty() const { return due_.empty(); }
  // The next call, or nothing if all accounts have the totals.
  std::optional<PlatformCall> NextCall() const;
  // Takes the answer to the last call. False if it failed for good; the next
  // host that plans a turn in the bucket then finds the totals in the shard.
  bool HandleAnswer(const PlatformAnswer& answer);

 private:
  bool TakeAccount(const PlatformAnswer& answer);

  std::string domain_;
  // By bucket and budget.
  std::map<std::uint64_t, std::map<std::string, std::int64_t>> due_;
  // The account as it is to be written; none while it must be read.
  std::optional<AccountBucket> account_;
  std::uint64_t version_ = 0;
  int attempts_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_
