#include "libs/node/shared_targets.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

}  // namespace

// A waiting request. `choice` and `failure` are protected by the mutex.
struct SharedTargets::Waiter {
  Waiter(const asio::any_io_executor& executor,
         QueueTicket ticket,
         std::shared_ptr<const std::set<std::string>> domains)
      : timer(executor),
        ticket(std::move(ticket)),
        domains(std::move(domains)) {}

  asio::steady_timer timer;
  QueueTicket ticket;
  // Failure domains that the request may reach; null allows all.
  std::shared_ptr<const std::set<std::string>> domains;
  std::optional<TargetChoice> choice;
  // Why no target can take the request; kOk if the request may still wait.
  Reason failure;
  // Used on the executor of the timer only.
  bool cancelled = false;

  bool has_ended() const { return choice || failure.code != ResultCode::kOk; }
};

SharedTargets::SharedTargets(std::string failure_domain,
                             const std::string& host)
    : table_(std::move(failure_domain), host) {}

void SharedTargets::Update(const HostList& list, const ConfigSnapshot& config) {
  std::lock_guard lock(mutex_);
  table_.Update(list, config, Clock::now());
  StartQueuedRequests();
}

void SharedTargets::SetEvacuatedDomains(std::set<std::string> domains) {
  std::lock_guard lock(mutex_);
  table_.SetEvacuatedDomains(std::move(domains), Clock::now());
  StartQueuedRequests();
}

void SharedTargets::SetColdBound(double overshoot, double tolerance) {
  std::lock_guard lock(mutex_);
  table_.SetColdBound(overshoot, tolerance);
}

void SharedTargets::SetColdHandler(
    std::function<void(const ColdNotice&)> handler) {
  std::lock_guard lock(mutex_);
  table_.SetColdHandler(std::move(handler));
}

void SharedTargets::SetFleet(std::vector<std::string> hosts) {
  std::lock_guard lock(mutex_);
  table_.SetFleet(std::move(hosts));
  StartQueuedRequests();
}

std::optional<TargetChoice> SharedTargets::BeginAttempt(
    const RoutingRequest& request,
    const std::set<std::string>& excluded,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  return table_.BeginAttempt(request, excluded, Clock::now(), reason);
}

void SharedTargets::RecordFirstToken(TargetChoice& choice,
                                     std::chrono::duration<double> elapsed) {
  std::lock_guard lock(mutex_);
  table_.RecordFirstToken(choice, elapsed, Clock::now());
}

bool SharedTargets::RecordRateLimit(const TargetChoice& choice,
                                    std::optional<double> limit) {
  std::lock_guard lock(mutex_);
  return table_.RecordRateLimit(choice, limit, Clock::now());
}

bool SharedTargets::RecordNotice(const TargetChoice& choice,
                                 const TargetNotice& notice) {
  if (notice.empty())
    return false;
  std::lock_guard lock(mutex_);
  return table_.RecordNotice(choice, notice, Clock::now());
}

void SharedTargets::RecordReportedLoad(const TargetChoice& choice,
                                       const ReportedLoad& load) {
  std::lock_guard lock(mutex_);
  table_.RecordReportedLoad(choice, load, Clock::now());
}

bool SharedTargets::RecordRateLimitNotice(const RateLimitStatus& status) {
  std::lock_guard lock(mutex_);
  return table_.RecordRateLimitNotice(status, Clock::now());
}

void SharedTargets::SetRateShare(const std::string& target, double share) {
  std::lock_guard lock(mutex_);
  table_.SetRateShare(target, share, Clock::now());
}

void SharedTargets::SetFirstRateShare(double share) {
  std::lock_guard lock(mutex_);
  table_.SetFirstRateShare(share);
}

std::vector<RateLimitStatus> SharedTargets::RateLimits() const {
  std::lock_guard lock(mutex_);
  return table_.RateLimits(Clock::now());
}

void SharedTargets::EndAttempt(const TargetChoice& choice,
                               AttemptOutcome outcome,
                               std::chrono::duration<double> token_time) {
  std::lock_guard lock(mutex_);
  table_.EndAttempt(choice, outcome, token_time, Clock::now());
  StartQueuedRequests();
}

// The timer is set to expire, on its own executor, rather than cancelled: a
// cancellation before the wait has begun would be lost.
void SharedTargets::Wake(const std::shared_ptr<Waiter>& waiter) {
  asio::post(waiter->timer.get_executor(),
             [waiter] { waiter->timer.expires_at(Clock::time_point::min()); });
}

void SharedTargets::StartQueuedRequests() {
  for (DequeuedRequest& it : queue_.DequeueReady(Clock::now())) {
    auto found = waiters_.find(it.ticket);
    std::shared_ptr<Waiter> waiter = std::move(found->second);
    waiters_.erase(found);
    waiter->choice = std::move(it.choice);
    waiter->failure = std::move(it.reason);
    Wake(waiter);
  }
}

void SharedTargets::StopWaiting() {
  std::lock_guard lock(mutex_);
  may_wait_ = false;
  for (const auto& [ticket, waiter] : waiters_)
    Wake(waiter);
}

bool SharedTargets::IsRateQueueFull(const RoutingRequest& request,
                                    Clock::time_point deadline,
                                    Clock::time_point now,
                                    Reason* reason) const {
  const std::string& service = request.service;
  const std::optional<double> rate =
      table_.AllowedRate(service, now, request.domains.get());
  if (!rate)
    return false;
  const auto next = table_.NextRateStart(service, now, request.domains.get());
  if (next && *next > deadline) {
    *reason = {
        ResultCode::kOverloaded,
        "no target of " + service +
            " takes a request of this host before the deadline: all have "
            "reached their rate limits or are cold"};
    return true;
  }
  const std::size_t waiting = queue_.Sizes()[service];
  if (static_cast<double>(waiting) <= *rate * kMaxRateLimitQueue.count())
    return false;
  *reason = {ResultCode::kOverloaded,
             "the rate limits or cold starts of all targets of " + service +
                 " allow this host " + std::to_string(*rate) +
                 " requests a second, and " + std::to_string(waiting) +
                 " wait"};
  return true;
}

// Rate limits allow the next request at a known time, and nothing else may
// happen then that starts it.
asio::awaitable<void> SharedTargets::WaitForStart(
    std::shared_ptr<Waiter> waiter,
    Clock::time_point deadline) {
  for (;;) {
    {
      std::lock_guard lock(mutex_);
      const Clock::time_point now = Clock::now();
      if (waiter->has_ended() || waiter->cancelled || !may_wait_ ||
          now >= deadline)
        co_return;
      const auto next = table_.NextRateStart(waiter->ticket.service, now,
                                             waiter->domains.get());
      waiter->timer.expires_at(
          std::min(std::max(next.value_or(deadline), now + kMinRateWait),
                   std::max(deadline, now + kMinRateWait)));
    }
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::lock_guard lock(mutex_);
    if (!waiter->has_ended())
      StartQueuedRequests();
  }
}

std::shared_ptr<SharedTargets::Waiter> SharedTargets::BeginOrEnqueue(
    const RoutingRequest& request,
    const std::set<std::string>& excluded,
    Clock::time_point deadline,
    const asio::any_io_executor& executor,
    std::optional<TargetChoice>& choice,
    Reason* reason) {
  const Clock::time_point now = Clock::now();
  std::optional<QueueTicket> ticket;
  std::lock_guard lock(mutex_);
  choice =
      queue_.BeginOrEnqueue(request, deadline, now, &ticket, reason, excluded);
  if (!ticket)
    return nullptr;
  if (!may_wait_) {
    *reason = {ResultCode::kOverloaded,
               "no target of " + request.service +
                   " has free capacity, and this host stops soon"};
    queue_.Remove(*ticket);
    return nullptr;
  }
  if (IsRateQueueFull(request, deadline, now, reason)) {
    queue_.Remove(*ticket);
    return nullptr;
  }
  auto waiter = std::make_shared<Waiter>(executor, *ticket, request.domains);
  waiters_.emplace(*ticket, waiter);
  return waiter;
}

asio::awaitable<std::optional<TargetChoice>> SharedTargets::WaitForTarget(
    RoutingRequest request,
    Clock::time_point deadline,
    Reason* reason,
    HttpCancel* cancel,
    std::set<std::string> excluded) {
  request.limited = true;
  deadline = std::min(deadline, Clock::now() + kMaxTargetWait);
  auto executor = co_await asio::this_coro::executor;
  std::optional<TargetChoice> choice;
  std::shared_ptr<Waiter> waiter =
      BeginOrEnqueue(request, excluded, deadline, executor, choice, reason);
  if (!waiter)
    co_return choice;
  if (cancel) {
    cancel->SetWaiter([waiter] {
      waiter->cancelled = true;
      waiter->timer.expires_at(Clock::time_point::min());
    });
  }
  co_await WaitForStart(waiter, deadline);
  if (cancel)
    cancel->SetWaiter({});
  std::lock_guard lock(mutex_);
  if (waiter->choice)
    co_return std::move(waiter->choice);
  if (waiter->failure.code != ResultCode::kOk) {
    *reason = waiter->failure;
    co_return std::nullopt;
  }
  queue_.Remove(waiter->ticket);
  waiters_.erase(waiter->ticket);
  if (waiter->cancelled) {
    co_return Fail(reason, ResultCode::kCallerGone,
                   "the caller closed its connection while its request waited "
                   "for a target of " +
                       request.service);
  }
  co_return Fail(
      reason, ResultCode::kOverloaded,
      "no target of " + request.service +
          " had free capacity before the deadline or the stop of this "
          "host");
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
