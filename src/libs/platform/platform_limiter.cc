#include "libs/platform/platform_limiter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>

#include "libs/platform/platform_constants.h"

namespace turmericwinch {

namespace {

using Time = PlatformLimiter::Time;

// Weights of the duties in fair queuing, indexed by PlatformDuty.
constexpr double kWeights[kPlatformDuties] = {4, 8, 16, 16, 4, 1, 2};
constexpr double kMsPerSecond = 1000;

struct QueuedCall {
  std::uint64_t ticket = 0;
  Time since{0};
};

// Queues and rate limit of the calls that share one rate.
struct Lane {
  double rate = 0;
  double available_calls = 0;
  // Virtual time of each duty: calls started divided by weight.
  std::array<double, kPlatformDuties> virtual_times{};
  // Virtual time of the duty served last.
  double last_virtual_time = 0;
  std::array<std::deque<QueuedCall>, kPlatformDuties> queues;

  double BurstLimit() const {
    return std::max(kPlatformMinBurst, rate * kPlatformBurstSeconds);
  }
  // The duty to serve next, or -1 if all queues are empty.
  int NextDuty() const {
    int best = -1;
    for (int n = 0; n < kPlatformDuties; ++n) {
      if (!queues[n].empty() &&
          (best < 0 || virtual_times[n] < virtual_times[best]))
        best = n;
    }
    return best;
  }
};

}  // namespace

class PlatformLimiter::Private {
 public:
  void Refill(Time now);
  void StartCalls(Lane& lane);
  void RejectExpired(Lane& lane, Time now);
  void RejectUnavailable(int duty, std::uint64_t ticket);
  void Reject(int duty, std::uint64_t ticket, ResultCode code, const char* why);
  void StartProbe(Time now);
  Time FirstProbePause() const;
  Time MaxProbePause() const;
  std::size_t WaitingCalls(int duty) const;

  PlatformRates fleet;
  std::int64_t hosts = 1;
  std::int64_t probing_hosts = 1;
  std::array<Lane, 2> lanes;
  std::array<PlatformDutyStats, kPlatformDuties> stats{};
  std::vector<PlatformDecision> decisions;
  std::mt19937_64 random;
  std::uint64_t next_ticket = 1;
  Time last_refill{0};
  bool started = false;
  int failures = 0;
  bool is_unavailable = false;
  Time pause{0};
  Time retry_at{0};
};

void PlatformLimiter::Private::Refill(Time now) {
  const double seconds =
      started ? static_cast<double>((now - last_refill).count()) / kMsPerSecond
              : 0;
  started = true;
  last_refill = std::max(last_refill, now);
  for (Lane& it : lanes)
    it.available_calls = std::min(
        it.BurstLimit(), it.available_calls + it.rate * std::max(0.0, seconds));
}

void PlatformLimiter::Private::StartCalls(Lane& lane) {
  while (lane.available_calls >= 1) {
    const int duty = lane.NextDuty();
    if (duty < 0)
      return;
    decisions.push_back({lane.queues[duty].front().ticket, {}});
    lane.queues[duty].pop_front();
    lane.last_virtual_time = lane.virtual_times[duty];
    lane.virtual_times[duty] += 1 / kWeights[duty];
    lane.available_calls -= 1;
  }
}

void PlatformLimiter::Private::Reject(int duty,
                                      std::uint64_t ticket,
                                      ResultCode code,
                                      const char* why) {
  PlatformDutyStats& own = stats[duty];
  ++(code == ResultCode::kPlatformLimited ? own.over_limit : own.while_away);
  const std::string name(NameOf(static_cast<PlatformDuty>(duty)));
  decisions.push_back(
      {ticket, {code, "a platform call for " + name + " " + why}});
}

void PlatformLimiter::Private::RejectExpired(Lane& lane, Time now) {
  const Time max_wait =
      is_unavailable ? kPlatformUnavailableWait : kPlatformMaxWait;
  for (int duty = 0; duty < kPlatformDuties; ++duty) {
    auto& queue = lane.queues[duty];
    while (!queue.empty() && now - queue.front().since >= max_wait) {
      if (is_unavailable)
        RejectUnavailable(duty, queue.front().ticket);
      else
        Reject(duty, queue.front().ticket, ResultCode::kPlatformLimited,
               "was not made: it waited too long for this host's share");
      queue.pop_front();
    }
  }
}

void PlatformLimiter::Private::RejectUnavailable(int duty,
                                                 std::uint64_t ticket) {
  Reject(duty, ticket, ResultCode::kPlatformUnavailable,
         "was not made: the platform does not answer");
}

// Starts one call after each pause to check whether the platform answers again.
void PlatformLimiter::Private::StartProbe(Time now) {
  for (Lane& lane : lanes) {
    const int duty = lane.NextDuty();
    if (duty < 0)
      continue;
    decisions.push_back({lane.queues[duty].front().ticket, {}});
    lane.queues[duty].pop_front();
    retry_at = now + pause / 2 +
               Time(random() % static_cast<std::uint64_t>(pause.count() + 1));
    pause = std::min(2 * pause, MaxProbePause());
    return;
  }
}

// The hosts of a small fleet may probe more often.
Time PlatformLimiter::Private::FirstProbePause() const {
  return std::max(kPlatformMinProbePause,
                  std::min(kPlatformFirstProbePause,
                           probing_hosts * kPlatformMaxProbePausePerHost / 8));
}

Time PlatformLimiter::Private::MaxProbePause() const {
  return std::max(kPlatformMinProbePause,
                  std::min(kPlatformMaxProbePause,
                           probing_hosts * kPlatformMaxProbePausePerHost));
}

std::size_t PlatformLimiter::Private::WaitingCalls(int duty) const {
  return lanes[0].queues[duty].size() + lanes[1].queues[duty].size();
}

PlatformLimiter::PlatformLimiter(PlatformRates fleet,
                                 std::size_t hosts,
                                 std::uint64_t seed)
    : d_(std::make_unique<Private>()) {
  d_->fleet = fleet;
  d_->random.seed(seed);
  SetHosts(hosts, Time(0));
  for (Lane& it : d_->lanes)
    it.available_calls = kPlatformInitialCalls;
  d_->started = false;
}

PlatformLimiter::~PlatformLimiter() = default;

void PlatformLimiter::SetHosts(std::size_t hosts, Time now) {
  d_->Refill(now);
  d_->hosts = std::max<std::int64_t>(1, static_cast<std::int64_t>(hosts));
  d_->probing_hosts = d_->hosts;
  const auto n = static_cast<double>(d_->hosts);
  d_->lanes[0].rate = d_->fleet.reads / n;
  d_->lanes[1].rate = d_->fleet.writes / n;
}

void PlatformLimiter::SetProbingHosts(std::size_t hosts) {
  d_->probing_hosts =
      std::max<std::int64_t>(1, static_cast<std::int64_t>(hosts));
}

std::uint64_t PlatformLimiter::Enqueue(PlatformDuty duty,
                                       PlatformCallKind kind,
                                       Time now) {
  const int n = static_cast<int>(duty);
  const std::uint64_t ticket = d_->next_ticket++;
  const bool is_full = d_->WaitingCalls(n) >= kPlatformMaxWaiting;
  if (is_full && d_->is_unavailable) {
    d_->RejectUnavailable(n, ticket);
  } else if (is_full) {
    d_->Reject(n, ticket, ResultCode::kPlatformLimited,
               "was not made: too many wait for this host's share");
  } else {
    Lane& lane = d_->lanes[kind == PlatformCallKind::kWrite ? 1 : 0];
    // A duty that was idle gains no credit for that time.
    if (lane.queues[n].empty())
      lane.virtual_times[n] =
          std::max(lane.virtual_times[n], lane.last_virtual_time);
    lane.queues[n].push_back({ticket, now});
    d_->Refill(now);
    if (!d_->is_unavailable)
      d_->StartCalls(lane);
    if (!lane.queues[n].empty())
      ++d_->stats[n].waited;
  }
  return ticket;
}

std::vector<PlatformDecision> PlatformLimiter::TakeDecisions(Time now) {
  d_->Refill(now);
  if (d_->is_unavailable && now >= d_->retry_at)
    d_->StartProbe(now);
  for (Lane& it : d_->lanes) {
    if (!d_->is_unavailable)
      d_->StartCalls(it);
    d_->RejectExpired(it, now);
  }
  return std::exchange(d_->decisions, {});
}

std::optional<Time> PlatformLimiter::NextDecisionTime(Time now) const {
  if (!d_->decisions.empty())
    return now;
  const Time max_wait =
      d_->is_unavailable ? kPlatformUnavailableWait : kPlatformMaxWait;
  std::optional<Time> next;
  for (const Lane& lane : d_->lanes) {
    if (lane.NextDuty() < 0)
      continue;
    Time at = now + kPlatformMaxWait;
    if (d_->is_unavailable) {
      at = d_->retry_at;
    } else if (lane.rate > 0) {
      const double ms = (1 - lane.available_calls) / lane.rate * kMsPerSecond;
      at = std::min(at, d_->last_refill +
                            Time(static_cast<int>(
                                std::ceil(std::clamp(ms, 1.0, kMsPerSecond)))));
    }
    for (const auto& queue : lane.queues) {
      if (!queue.empty())
        at = std::min(at, queue.front().since + max_wait);
    }
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

void PlatformLimiter::EndCall(bool answered, Time now) {
  if (answered) {
    d_->failures = 0;
    if (!d_->is_unavailable)
      return;
    // Limits the burst after the outage: calls that accumulated meanwhile are
    // dropped.
    d_->Refill(now);
    for (Lane& it : d_->lanes)
      it.available_calls = std::min(it.available_calls, kPlatformInitialCalls);
    d_->is_unavailable = false;
    return;
  }
  if (d_->is_unavailable || ++d_->failures < kPlatformFailuresToUnavailable)
    return;
  d_->is_unavailable = true;
  d_->pause = d_->FirstProbePause();
  d_->retry_at =
      now +
      Time(d_->random() % (2 * static_cast<std::uint64_t>(d_->pause.count())));
}

bool PlatformLimiter::unavailable() const {
  return d_->is_unavailable;
}

PlatformRates PlatformLimiter::share() const {
  return {d_->lanes[0].rate, d_->lanes[1].rate};
}

PlatformDutyStats PlatformLimiter::Stats(PlatformDuty duty) const {
  const int n = static_cast<int>(duty);
  PlatformDutyStats stats = d_->stats[n];
  stats.waiting = d_->WaitingCalls(n);
  return stats;
}

}  // namespace turmericwinch
