// Writes the tokens that a failure domain returned into the budget accounts.
// A state machine without I/O, clocks or threads; the caller makes the calls.

#ifndef SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_
#define SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/budget/budget_account.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

// Return totals of a domain's shards that are not in the accounts yet. Totals
// only grow, so a repeated or late write of a total changes nothing.
class AccountReturns {
 public:
  explicit AccountReturns(std::string domain);

  // Adds a total to write: the domain has returned `returned` tokens of
  // `budget` in all. Call only after the shard with this total is stored.
  void AddReturned(const std::string& budget, std::int64_t returned);
  bool empty() const { return pending_.empty(); }
  // Returns the next call, or nothing once all accounts have the totals.
  std::optional<PlatformCall> NextCall() const;
  // Handles the answer to the last call. Returns false after a final failure;
  // the next host that runs a round in the bucket then reads the totals from
  // the shard.
  bool HandleAnswer(const PlatformAnswer& answer);

 private:
  bool ApplyToAccount(const PlatformAnswer& answer);

  std::string domain_;
  // Totals still to write, by bucket and budget.
  std::map<std::uint64_t, std::map<std::string, std::int64_t>> pending_;
  // The account to write; empty while the account has yet to be read.
  std::optional<AccountBucket> account_;
  StoreVersion version_;
  int attempts_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_ACCOUNT_RETURNS_H_
