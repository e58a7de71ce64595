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
  Waiter(const asio::any_io_executor& executor, TargetWish wish)
      : timer(executor), wish(std::move(wish)) {}

  asio::steady_timer timer;
  TargetWish wish;
  std::uint64_t request = 0;
  std::optional<TargetChoice> choice;
};

SharedTargets::SharedTargets(std::string failure_domain,
                             const std::string& host)
    : table_(std::move(failure_domain), host) {}

void SharedTargets::Update(const HostList& list, const ConfigSnapshot& config) {
  std::lock_guard lock(mutex_);
  table_.Update(list, config, Clock::now());
  StartWaiting();
}

std::optional<TargetChoice> SharedTargets::Begin(
    const std::string& service,
    const std::set<std::string>& excluded,
    Reason* reason) {
  return Begin(TargetWish{service}, excluded, reason);
}

std::optional<TargetChoice> SharedTargets::Begin(
    const TargetWish& wish,
    const std::set<std::string>& excluded,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  return table_.Begin(wish, excluded, Clock::now(), reason);
}

void SharedTargets::FirstToken(TargetChoice& choice,
                               std::chrono::duration<double> elapsed) {
  std::lock_guard lock(mutex_);
  table_.FirstToken(choice, elapsed, Clock::now());
}

void SharedTargets::End(const TargetChoice& choice,
                        TargetAnswer answer,
                        std::chrono::duration<double> token_time) {
  std::lock_guard lock(mutex_);
  table_.End(choice, answer, token_time, Clock::now());
  StartWaiting();
}

// A waiter's timer is moved on its own executor rather than cancelled, so that
// a wake-up that comes before the wait has begun is not lost.
void SharedTargets::StartWaiting() {
  const Clock::time_point now = Clock::now();
  for (auto& [service, queue] : queues_) {
    while (std::optional<std::uint64_t> request = queue.order.Front()) {
      std::shared_ptr<Waiter> waiter = queue.waiters.at(*request);
      Reason reason;
      waiter->choice = table_.Begin(waiter->wish, {}, now, &reason);
      if (!waiter->choice)
        break;
      queue.order.Start(*request, now);
      queue.waiters.erase(*request);
      asio::post(waiter->timer.get_executor(), [waiter] {
        waiter->timer.expires_at(Clock::time_point::min());
      });
    }
  }
}

std::shared_ptr<SharedTargets::Waiter> SharedTargets::BeginOrQueue(
    const TargetWish& wish,
    const QueuePlace& place,
    const asio::any_io_executor& executor,
    std::optional<TargetChoice>& choice,
    Reason* reason) {
  const Clock::time_point now = Clock::now();
  std::lock_guard lock(mutex_);
  Queue& queue = queues_[wish.service];
  if (queue.order.size() == 0) {
    choice = table_.Begin(wish, {}, now, reason);
    if (choice || reason->code != ResultCode::kOverloaded)
      return nullptr;
  }
  const Clock::time_point deadline =
      std::min(place.deadline, now + kMostTargetWait);
  // A short prompt's answer takes its time too: it counts as a whole turn.
  const std::int64_t tokens =
      std::max(wish.prompt_tokens, static_cast<std::int64_t>(kTurnTokens));
  std::optional<std::uint64_t> request =
      queue.order.Add(place.team, place.share, tokens, deadline, now, reason);
  if (!request)
    return nullptr;
  auto waiter = std::make_shared<Waiter>(executor, wish);
  waiter->request = *request;
  waiter->timer.expires_at(deadline);
  queue.waiters[*request] = waiter;
  return waiter;
}

asio::awaitable<std::optional<TargetChoice>>
SharedTargets::Wait(TargetWish wish, QueuePlace place, Reason* reason) {
  auto executor = co_await asio::this_coro::executor;
  std::optional<TargetChoice> choice;
  std::shared_ptr<Waiter> waiter =
      BeginOrQueue(wish, place, executor, choice, reason);
  if (!waiter)
    co_return choice;
  co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  std::lock_guard lock(mutex_);
  if (waiter->choice)
    co_return std::move(waiter->choice);
  Queue& queue = queues_[wish.service];
  queue.order.Remove(waiter->request);
  queue.waiters.erase(waiter->request);
  co_return Fail(reason, ResultCode::kOverloaded,
                 "no target of " + wish.service + " had room in time");
}

std::map<std::string, std::size_t> SharedTargets::QueueSizes() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::size_t> sizes;
  for (const auto& [service, queue] : queues_)
    sizes[service] = queue.order.size();
  return sizes;
}

std::vector<TargetFigures> SharedTargets::Figures() const {
  std::lock_guard lock(mutex_);
  return table_.Figures(Clock::now());
}

}  // namespace turmericwinch
