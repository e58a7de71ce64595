#include "libs/budget/account_returns.h"

#include <utility>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

AccountReturns::AccountReturns(std::string domain)
    : domain_(std::move(domain)) {}

void AccountReturns::AddReturned(const std::string& budget,
                                 std::int64_t returned) {
  due_[BucketOf(budget)][budget] = returned;
}

std::optional<PlatformCall> AccountReturns::NextCall() const {
  if (due_.empty())
    return std::nullopt;
  const std::string name = AccountObjectName(due_.begin()->first);
  if (!account_) {
    return PlatformCall{PlatformVerb::kGet, name, 0, "",
                        kWriteRetryPause * attempts_};
  }
  return PlatformCall{
      PlatformVerb::kUpdate, name, version_, ToJson(*account_), {}};
}

bool AccountReturns::HandleAnswer(const PlatformAnswer& answer) {
  const ResultCode code = answer.reason.code;
  // Nothing was allocated from an account that does not exist.
  if (!account_ && code == ResultCode::kPlatformNotFound) {
    due_.erase(due_.begin());
    return true;
  }
  if (!account_)
    return code == ResultCode::kOk && TakeAccount(answer);
  account_.reset();
  if (code == ResultCode::kOk) {
    due_.erase(due_.begin());
    attempts_ = 0;
    return true;
  }
  return NeedsReread(code) && ++attempts_ < kMaxWriteAttempts;
}

// Totals that the account has already, as when an answer was lost, are done.
bool AccountReturns::TakeAccount(const PlatformAnswer& answer) {
  Reason reason;
  std::optional<AccountBucket> account =
      ParseAccountBucket(answer.value, &reason);
  if (!account)
    return false;
  bool changed = false;
  for (const auto& [name, returned] : due_.begin()->second) {
    BudgetAccount& budget = account->budgets[name];
    if (returned <= budget.domains[domain_].returned)
      continue;
    RecordReturned(budget, domain_, returned);
    changed = true;
  }
  if (!changed) {
    due_.erase(due_.begin());
    return true;
  }
  account_ = std::move(account);
  version_ = answer.version;
  return true;
}

}  // namespace turmericwinch
