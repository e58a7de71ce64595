#include "libs/platform/platform_gate.h"

#include <boost/asio.hpp>
#include <map>
#include <random>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Time = PlatformLimiter::Time;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

Time SteadyNow() {
  return std::chrono::duration_cast<Time>(Clock::now().time_since_epoch());
}

// A queued call; cancelling its timer wakes the call.
struct Waiter {
  explicit Waiter(asio::io_context& context)
      : timer(context, Clock::time_point::max()) {}

  asio::steady_timer timer;
  std::optional<Reason> decision;
};

}  // namespace

class PlatformGate::Private
    : public std::enable_shared_from_this<PlatformGate::Private> {
 public:
  Private(asio::io_context& context, PlatformRates fleet, std::size_t hosts)
      : context(context),
        limiter(fleet, hosts, std::random_device{}()),
        timer(context) {}

  // Wakes the calls that have a decision and schedules the next run.
  void ProcessDecisions();

  asio::io_context& context;
  PlatformLimiter limiter;
  asio::steady_timer timer;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

void PlatformGate::Private::ProcessDecisions() {
  for (PlatformDecision& it : limiter.TakeDecisions(SteadyNow())) {
    auto node = waiters.extract(it.ticket);
    if (node.empty())
      continue;
    node.mapped()->decision = std::move(it.reason);
    node.mapped()->timer.cancel();
  }
  const std::optional<Time> next = limiter.NextDecisionTime(SteadyNow());
  if (!next)
    return;
  timer.expires_at(Clock::time_point(*next));
  timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    if (auto self = ec ? nullptr : weak.lock())
      self->ProcessDecisions();
  });
}

PlatformGate::PlatformGate(asio::io_context& context,
                           PlatformRates fleet,
                           std::size_t hosts)
    : d_(std::make_shared<Private>(context, fleet, hosts)) {}

PlatformGate::~PlatformGate() = default;

asio::awaitable<bool> PlatformGate::Enter(PlatformDuty duty,
                                          PlatformCallKind kind,
                                          Reason* reason) {
  auto waiter = std::make_shared<Waiter>(d_->context);
  d_->waiters[d_->limiter.Enqueue(duty, kind, SteadyNow())] = waiter;
  d_->ProcessDecisions();
  while (!waiter->decision)
    co_await waiter->timer.async_wait(kAwait);
  if (waiter->decision->code == ResultCode::kOk)
    co_return true;
  if (reason)
    *reason = *waiter->decision;
  co_return false;
}

void PlatformGate::Leave(bool answered) {
  d_->limiter.EndCall(answered, SteadyNow());
  d_->ProcessDecisions();
}

void PlatformGate::SetProbingHosts(std::size_t hosts) {
  d_->limiter.SetProbingHosts(hosts);
}

void PlatformGate::SetHosts(std::size_t hosts) {
  d_->limiter.SetHosts(hosts, SteadyNow());
  d_->ProcessDecisions();
}

const PlatformLimiter& PlatformGate::limiter() const {
  return d_->limiter;
}

}  // namespace turmericwinch
