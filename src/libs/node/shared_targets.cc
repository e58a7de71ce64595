#include "libs/node/shared_targets.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

}  // namespace

// One request that waits. `choice` is written under the lock.
struct SharedTargets::Waiter {
  Waiter(const asio::any_io_executor& executor, QueueTicket ticket)
      : timer(executor), ticket(std::move(ticket)) {}

  asio::steady_timer timer;
  QueueTicket ticket;
  std::optional<TargetChoice> choice;
};

SharedTargets::SharedTargets(std::string failure_domain,
                             const std::string& host)
    : table_(std::move(failure_domain), host) {}

void SharedTargets::Update(const HostList& list, const ConfigSnapshot& config) {
  std::lock_guard lock(mutex_);
  table_.Update(list, config, Clock::now());
  StartQueuedRequests();
}

std::optional<TargetChoice> SharedTargets::BeginAttempt(
    const RoutingRequest& wish,
    const std::set<std::string>& excluded,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  return table_.BeginAttempt(wish, excluded, Clock::now(), reason);
}

void SharedTargets::RecordFirstToken(TargetChoice& choice,
                                     std::chrono::duration<double> elapsed) {
  std::lock_guard lock(mutex_);
  table_.RecordFirstToken(choice, elapsed, Clock::now());
}

void SharedTargets::EndAttempt(const TargetChoice& choice,
                               AttemptOutcome answer,
                               std::chrono::duration<double> token_time) {
  std::lock_guard lock(mutex_);
  table_.EndAttempt(choice, answer, token_time, Clock::now());
  StartQueuedRequests();
}

// A waiter's timer is moved on its own executor rather than cancelled, so that
// a wake-up that comes before the wait has begun is not lost.
void SharedTargets::StartQueuedRequests() {
  for (DequeuedRequest& it : queue_.DequeueReady(Clock::now())) {
    auto found = waiters_.find(it.ticket);
    std::shared_ptr<Waiter> waiter = std::move(found->second);
    waiters_.erase(found);
    waiter->choice = std::move(it.choice);
    asio::post(waiter->timer.get_executor(), [waiter] {
      waiter->timer.expires_at(Clock::time_point::min());
    });
  }
}

std::shared_ptr<SharedTargets::Waiter> SharedTargets::BeginOrEnqueue(
    const RoutingRequest& wish,
    Clock::time_point deadline,
    const asio::any_io_executor& executor,
    std::optional<TargetChoice>& choice,
    Reason* reason) {
  const Clock::time_point now = Clock::now();
  deadline = std::min(deadline, now + kMaxTargetWait);
  std::optional<QueueTicket> ticket;
  std::lock_guard lock(mutex_);
  choice = queue_.BeginOrEnqueue(wish, deadline, now, &ticket, reason);
  if (!ticket)
    return nullptr;
  auto waiter = std::make_shared<Waiter>(executor, *ticket);
  waiter->timer.expires_at(deadline);
  waiters_.emplace(*ticket, waiter);
  return waiter;
}

asio::awaitable<std::optional<TargetChoice>> SharedTargets::WaitForTarget(
    RoutingRequest wish,
    Clock::time_point deadline,
    Reason* reason) {
  wish.limited = true;
  auto executor = co_await asio::this_coro::executor;
  std::optional<TargetChoice> choice;
  std::shared_ptr<Waiter> waiter =
      BeginOrEnqueue(wish, deadline, executor, choice, reason);
  if (!waiter)
    co_return choice;
  co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  std::lock_guard lock(mutex_);
  if (waiter->choice)
    co_return std::move(waiter->choice);
  queue_.Remove(waiter->ticket);
  waiters_.erase(waiter->ticket);
  co_return Fail(reason, ResultCode::kOverloaded,
                 "no target of " + wish.service + " had room in time");
}

std::map<std::string, std::size_t> SharedTargets::QueueSizes() const {
  std::lock_guard lock(mutex_);
  return queue_.Sizes();
}

std::vector<TargetStats> SharedTargets::Stats() const {
  std::lock_guard lock(mutex_);
  return table_.Stats(Clock::now());
}

}  // namespace turmericwinch
