#include "libs/budget/account_returns.h"

#include <utility>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

AccountReturns::AccountReturns(std::string domain)
    : domain_(std::move(domain)) {}

void AccountReturns::AddReturned(const std::string& budget,
                                 std::int64_t returned) {
  pending_[BucketOf(budget)][budget] = returned;
}

std::optional<PlatformCall> AccountReturns::NextCall() const {
  if (pending_.empty())
    return std::nullopt;
  const std::string name = AccountObjectName(pending_.begin()->first);
  if (!account_) {
    return PlatformCall{.verb = PlatformVerb::kGet,
                        .name = name,
                        .pause = kWriteRetryPause * attempts_};
  }
  return PlatformCall{
      PlatformVerb::kUpdate, name, version_, ToJson(*account_), {}};
}

bool AccountReturns::HandleAnswer(const PlatformAnswer& answer) {
  const ResultCode code = answer.reason.code;
  // No tokens were allocated from an account that does not exist, so there is
  // nothing to return to it.
  if (!account_ && code == ResultCode::kPlatformNotFound) {
    pending_.erase(pending_.begin());
    return true;
  }
  if (!account_)
    return code == ResultCode::kOk && ApplyToAccount(answer);
  account_.reset();
  if (code == ResultCode::kOk) {
    pending_.erase(pending_.begin());
    attempts_ = 0;
    return true;
  }
  return NeedsReread(code) && ++attempts_ < kMaxWriteAttempts;
}

// Skips totals that the account already has, as after a write whose answer was
// lost.
bool AccountReturns::ApplyToAccount(const PlatformAnswer& answer) {
  Reason reason;
  std::optional<AccountBucket> account =
      ParseAccountBucket(answer.value, &reason);
  if (!account)
    return false;
  bool changed = false;
  for (const auto& [name, returned] : pending_.begin()->second) {
    BudgetAccount& budget = account->budgets[name];
    if (returned <= budget.domains[domain_].returned)
      continue;
    RecordReturned(budget, domain_, returned);
    changed = true;
  }
  if (!changed) {
    pending_.erase(pending_.begin());
    return true;
  }
  account_ = std::move(account);
  version_ = answer.version;
  return true;
}

}  // namespace turmericwinch
