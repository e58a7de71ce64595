#include "libs/node/shared_ledger.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <mutex>
#include <vector>

#include "libs/budget/budget_account.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

// A request that waits for a grant. `denial` is written under the lock.
struct Waiter {
  Waiter(const asio::any_io_executor& executor, std::int64_t tokens)
      : timer(executor), tokens(tokens) {}

  asio::steady_timer timer;
  std::int64_t tokens;
  std::optional<Reason> denial;
};

// Requests for `min_tokens` tokens or more are refused until `until`, without a
// draw.
struct Denial {
  Reason reason;
  std::int64_t min_tokens = 0;
  Clock::time_point until;
};

// Wakes a waiter on its own executor, as timers are not thread-safe. Sets the
// expiry into the past instead of cancelling the wait, so that a wake-up before
// the start of the wait is not lost.
void WakeWaiter(const std::shared_ptr<Waiter>& waiter) {
  asio::post(waiter->timer.get_executor(),
             [waiter] { waiter->timer.expires_at(Clock::time_point::min()); });
}

}  // namespace

class SharedLedger::Private {
 public:
  explicit Private(std::string holder) : ledger(std::move(holder)) {}

  std::vector<std::shared_ptr<Waiter>> TakeWaiters(const std::string& budget) {
    auto it = waiters.find(budget);
    if (it == waiters.end())
      return {};
    std::vector<std::shared_ptr<Waiter>> taken = std::move(it->second);
    waiters.erase(it);
    return taken;
  }

  // Removes a waiter whose wait ended before anything woke it.
  void RemoveWaiter(const std::string& budget,
                    const std::shared_ptr<Waiter>& waiter) {
    auto it = waiters.find(budget);
    if (it == waiters.end())
      return;
    std::erase(it->second, waiter);
    if (it->second.empty())
      waiters.erase(it);
  }

  // Wakes the waiting requests, in the order of arrival, that tokens which came
  // free can serve. Those tokens count as available for a grant request, so
  // that no grant may follow.
  void WakeWaitersWithTokens() {
    for (auto budget = waiters.begin(); budget != waiters.end();) {
      std::int64_t tokens_left = ledger.ReservableTokens(budget->first);
      std::erase_if(budget->second, [&](const std::shared_ptr<Waiter>& it) {
        if (it->tokens > tokens_left ||
            !ledger.CanReserve(budget->first, it->tokens))
          return false;
        tokens_left -= it->tokens;
        WakeWaiter(it);
        return true;
      });
      budget = budget->second.empty() ? waiters.erase(budget) : next(budget);
    }
  }

  std::mutex mutex;
  HostLedger ledger;
  bool reachable = true;
  std::function<void()> on_grant_request;
  std::map<std::string, std::vector<std::shared_ptr<Waiter>>> waiters;
  std::map<std::string, Denial> denials;
};

SharedLedger::SharedLedger(std::string holder)
    : d_(std::make_unique<Private>(std::move(holder))) {}

SharedLedger::~SharedLedger() = default;

void SharedLedger::SetGrantRequestHandler(
    std::function<void()> on_grant_request) {
  std::lock_guard lock(d_->mutex);
  d_->on_grant_request = std::move(on_grant_request);
}

asio::awaitable<std::optional<std::uint64_t>> SharedLedger::Reserve(
    std::string budget,
    std::int64_t tokens,
    std::chrono::milliseconds max_wait,
    Reason* reason,
    HttpCancel* cancel) {
  auto executor = co_await asio::this_coro::executor;
  const Clock::time_point deadline = Clock::now() + max_wait;
  for (;;) {
    std::shared_ptr<Waiter> waiter;
    std::function<void()> on_grant_request;
    {
      std::lock_guard lock(d_->mutex);
      const Clock::time_point now = Clock::now();
      Reservation reservation = d_->ledger.Reserve(budget, tokens, now);
      if (reservation.outcome == ReserveOutcome::kReserved)
        co_return reservation.id;
      if (reservation.outcome == ReserveOutcome::kBillsFull) {
        co_return Fail(reason, ResultCode::kOverloaded,
                       "too many bills are waiting for the platform");
      }
      if (reservation.outcome == ReserveOutcome::kFenced) {
        co_return Fail(
            reason, ResultCode::kBudgetUnreachable,
            "this host has closed its grants and reserves no more tokens");
      }
      auto denial = d_->denials.find(budget);
      if (denial != d_->denials.end() && now < denial->second.until &&
          tokens >= denial->second.min_tokens) {
        *reason = denial->second.reason;
        co_return std::nullopt;
      }
      if (!d_->reachable) {
        d_->ledger.AddGrantRequest(budget, tokens);
        co_return Fail(reason, ResultCode::kBudgetUnreachable,
                       "this host holds too few tokens of budget " + budget +
                           ", and no more can be drawn now");
      }
      if (now >= deadline) {
        // Spares later requests the same wait.
        d_->denials[budget] = {{ResultCode::kBudgetUnreachable,
                                "no grant of budget " + budget +
                                    " arrived in time for an earlier request"},
                               tokens,
                               now + kDenialCacheTime};
        co_return Fail(reason, ResultCode::kBudgetUnreachable,
                       "no grant of budget " + budget + " arrived in time");
      }
      d_->ledger.AddGrantRequest(budget, tokens);
      waiter = std::make_shared<Waiter>(executor, tokens);
      waiter->timer.expires_at(deadline);
      d_->waiters[budget].push_back(waiter);
      on_grant_request = d_->on_grant_request;
    }
    if (on_grant_request)
      on_grant_request();
    if (cancel) {
      cancel->SetWaiter(
          [waiter] { waiter->timer.expires_at(Clock::time_point::min()); });
    }
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::lock_guard lock(d_->mutex);
    d_->RemoveWaiter(budget, waiter);
    if (cancel) {
      cancel->SetWaiter({});
      if (cancel->cancelled()) {
        co_return Fail(reason, ResultCode::kCallerGone,
                       "the caller closed its connection while its request "
                       "waited for tokens of budget " +
                           budget);
      }
    }
    if (waiter->denial) {
      *reason = *waiter->denial;
      co_return std::nullopt;
    }
  }
}

std::optional<Bill> SharedLedger::Settle(std::uint64_t reservation, Bill bill) {
  std::lock_guard lock(d_->mutex);
  std::optional<Bill> settled =
      d_->ledger.Settle(reservation, std::move(bill), Clock::now());
  d_->WakeWaitersWithTokens();
  return settled;
}

void SharedLedger::Release(std::uint64_t reservation) {
  std::lock_guard lock(d_->mutex);
  d_->ledger.Release(reservation);
  d_->WakeWaitersWithTokens();
}

void SharedLedger::Grant(const std::string& budget,
                         std::int64_t granted_total) {
  std::lock_guard lock(d_->mutex);
  d_->ledger.ApplyGrant(budget, granted_total);
  d_->denials.erase(budget);
  for (const auto& it : d_->TakeWaiters(budget))
    WakeWaiter(it);
}

void SharedLedger::SetReachable(bool reachable) {
  std::lock_guard lock(d_->mutex);
  d_->reachable = reachable;
}

void SharedLedger::NotifyLoan(const std::string& budget) {
  std::lock_guard lock(d_->mutex);
  d_->denials.erase(budget);
  for (const auto& it : d_->TakeWaiters(budget))
    WakeWaiter(it);
}

void SharedLedger::Deny(const std::string& budget,
                        std::int64_t missing,
                        const Reason& reason) {
  std::lock_guard lock(d_->mutex);
  const std::int64_t available =
      std::max<std::int64_t>(d_->ledger.Available(budget), 0);
  const std::int64_t min_tokens = AddSaturated(available, missing);
  d_->denials[budget] = {reason, min_tokens, Clock::now() + kDenialCacheTime};
  std::vector<std::shared_ptr<Waiter>>& waiters = d_->waiters[budget];
  std::erase_if(waiters, [&](const std::shared_ptr<Waiter>& it) {
    if (it->tokens < min_tokens)
      return false;
    it->denial = reason;
    WakeWaiter(it);
    return true;
  });
  if (waiters.empty())
    d_->waiters.erase(budget);
}

void SharedLedger::With(const std::function<void(HostLedger&)>& action) {
  std::lock_guard lock(d_->mutex);
  action(d_->ledger);
  d_->WakeWaitersWithTokens();
}

}  // namespace turmericwinch
