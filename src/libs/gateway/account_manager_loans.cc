// How AccountManager gets tokens for waiting requests from other hosts, and for
// other hosts from the account.

#include <algorithm>
#include <utility>

#include "libs/budget/loan_search.h"
#include "libs/gateway/account_manager_private.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

}  // namespace

void AccountManager::Private::CollectWaiting() {
  context.ledger.With([this](HostLedger& ledger) { RecordWaiting(ledger); });
  if (!context.peers.enabled())
    return;
  // A loan that fails at once changes `waiting`, so loans start after the loop.
  std::vector<std::pair<GrantRequest, std::vector<LenderEndpoint>>>
      domain_loans;
  std::erase_if(waiting, [&](const auto& entry) {
    const auto& [name, request] = entry;
    std::vector<LenderEndpoint> lenders = holder.stock_hosts().LendersFor(name);
    if (lenders.empty() || drawn_directly.contains(name))
      return false;
    const GrantRequest missing = Missing(request);
    if (missing.needed > 0)
      domain_loans.emplace_back(missing, std::move(lenders));
    return true;
  });
  for (auto& [request, lenders] : domain_loans) {
    loans.RequestLoan(request, LoanScope::kDomain, std::move(lenders),
                      {ResultCode::kBudgetUnreachable,
                       "no host of the failure domain lends the tokens"});
  }
}

GrantRequest AccountManager::Private::Missing(const GrantRequest& request) {
  std::int64_t available = 0;
  context.ledger.With([&](HostLedger& ledger) {
    available = ledger.Available(request.budget);
  });
  GrantRequest missing = request;
  missing.needed = std::max<std::int64_t>(request.needed - available, 0);
  missing.smallest = std::max<std::int64_t>(request.smallest - available, 0);
  return missing;
}

void AccountManager::Private::HandleFailedSearch(
    const FailedLoanSearch& search) {
  const std::string& budget = search.request.budget;
  if (search.scope == LoanScope::kFleet) {
    context.ledger.Deny(budget, search.request.smallest, search.reason);
    return;
  }
  if (!writes.MayDrawDirectly(Clock::now())) {
    loans.RequestLoan(
        search.request, LoanScope::kFleet,
        FindLenders(holder.known_account(), budget, context.ledger_holder()),
        search.reason);
    return;
  }
  drawn_directly.insert(budget);
  context.ledger.With([&](HostLedger& ledger) {
    GrantRequest request = search.request;
    const std::int64_t available =
        std::max<std::int64_t>(ledger.Available(budget), 0);
    request.needed += available;
    request.smallest += available;
    AddWaiting(std::move(request));
  });
  SyncForWaiting();
}

bool AccountManager::Private::DrawForBorrower(const LoanRequestItem& request) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  if (!reachable || context.draining || !config)
    return false;
  auto budget = config->objects->budgets().find(request.budget);
  if (budget == config->objects->budgets().end() ||
      !holder.MayDrawForLoan(request.budget, budget->second.tokens,
                             request.smallest))
    return false;
  lent_at[request.budget] = Clock::now();
  SyncSoon();
  return true;
}

void AccountManager::Private::SyncForWaiting() {
  if (!reachable) {
    // The store is retried after kStoreRetryPause; other hosts are asked now.
    OpenAllTokens();
    BorrowOrDeny(UnreachableReason());
    return;
  }
  if (context.peers.enabled() && !std::exchange(borrow_scheduled, true))
    asio::co_spawn(context.control, BorrowAfterDelay(), asio::detached);
  SyncSoon();
}

// A budget is reported as exhausted only if no host has enough tokens left for
// the request, because callers do not retry after that response.
void AccountManager::Private::BorrowOrDeny(const Reason& why) {
  const std::shared_ptr<const GatewayConfig> config = context.config.Get();
  drawn_directly.clear();
  for (const auto& [name, request] : std::exchange(waiting, {})) {
    const GrantRequest missing = Missing(request);
    if (missing.needed == 0)
      continue;
    Reason denial = why;
    auto budget = holder.known_account().budgets.find(name);
    auto paid = config->objects->budgets().find(name);
    if (why.code == ResultCode::kBudgetExhausted &&
        budget != holder.known_account().budgets.end() &&
        paid != config->objects->budgets().end() &&
        paid->second.tokens - budget->second.Spent() >= request.smallest) {
      denial = {ResultCode::kBudgetUnreachable,
                "other hosts hold the remaining tokens of budget " + name};
    }
    if (context.peers.enabled())
      loans.RequestLoan(
          missing, LoanScope::kFleet,
          FindLenders(holder.known_account(), name, context.ledger_holder()),
          denial);
    else
      context.ledger.Deny(name, missing.smallest, denial);
  }
}

Reason AccountManager::Private::UnreachableReason() const {
  return {ResultCode::kBudgetUnreachable,
          "this host has too few tokens, no other host lends them, and the "
          "account is unavailable: " +
              reason.text};
}

void AccountManager::Private::BorrowForWaiting() {
  OpenAllTokens();
  CollectWaiting();
  BorrowOrDeny(UnreachableReason());
}

asio::awaitable<void> AccountManager::Private::BorrowAfterDelay() {
  asio::steady_timer delay_timer(context.control, kBorrowDelay);
  co_await delay_timer.async_wait(asio::as_tuple(asio::use_awaitable));
  borrow_scheduled = false;
  if (sync_start && Clock::now() - *sync_start >= kBorrowDelay)
    BorrowForWaiting();
}

}  // namespace turmericwinch
