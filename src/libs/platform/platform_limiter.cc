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

// Turns of each duty while several wait, by the number of the duty.
constexpr double kWeights[kPlatformDuties] = {4, 8, 16, 16, 4, 1, 2};
constexpr double kMsPerSecond = 1000;

struct Waiting {
  std::uint64_t ticket = 0;
  Time since{0};
};

// Calls that draw on the same rate.
struct Lane {
  double rate = 0;
  double saved = 0;
  // Turns taken divided by weight, of each duty and of the last one served.
  std::array<double, kPlatformDuties> turns{};
  double turn = 0;
  std::array<std::deque<Waiting>, kPlatformDuties> queues;

  double Most() const {
    return std::max(kPlatformLeastBurst, rate * kPlatformBurstSeconds);
  }
  // The duty whose turn it is, or -1.
  int NextDuty() const {
    int best = -1;
    for (int n = 0; n < kPlatformDuties; ++n) {
      if (!queues[n].empty() && (best < 0 || turns[n] < turns[best]))
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
  void RefuseLate(Lane& lane, Time now);
  void RefuseAway(int duty, std::uint64_t ticket);
  void Refuse(int duty, std::uint64_t ticket, ResultCode code, const char* why);
  void Probe(Time now);
  Time PauseFirst() const;
  Time PauseMost() const;
  std::size_t WaitingOf(int duty) const;

  PlatformRates fleet;
  std::int64_t hosts = 1;
  std::array<Lane, 2> lanes;
  std::array<PlatformDutyStats, kPlatformDuties> figures{};
  std::vector<PlatformDecision> decided;
  std::mt19937_64 random;
  std::uint64_t next_ticket = 1;
  Time refilled{0};
  bool started = false;
  int failures = 0;
  bool away = false;
  Time pause{0};
  Time retry_at{0};
};

void PlatformLimiter::Private::Refill(Time now) {
  const double seconds =
      started ? static_cast<double>((now - refilled).count()) / kMsPerSecond
              : 0;
  started = true;
  refilled = std::max(refilled, now);
  for (Lane& it : lanes)
    it.saved = std::min(it.Most(), it.saved + it.rate * std::max(0.0, seconds));
}

void PlatformLimiter::Private::StartCalls(Lane& lane) {
  while (lane.saved >= 1) {
    const int duty = lane.NextDuty();
    if (duty < 0)
      return;
    decided.push_back({lane.queues[duty].front().ticket, {}});
    lane.queues[duty].pop_front();
    lane.turn = lane.turns[duty];
    lane.turns[duty] += 1 / kWeights[duty];
    lane.saved -= 1;
  }
}

void PlatformLimiter::Private::Refuse(int duty,
                                      std::uint64_t ticket,
                                      ResultCode code,
                                      const char* why) {
  PlatformDutyStats& own = figures[duty];
  ++(code == ResultCode::kPlatformLimited ? own.over_limit : own.while_away);
  const std::string name(NameOf(static_cast<PlatformDuty>(duty)));
  decided.push_back(
      {ticket, {code, "a platform call for " + name + " " + why}});
}

void PlatformLimiter::Private::RefuseLate(Lane& lane, Time now) {
  const Time most = away ? kPlatformAwayWait : kPlatformMostWait;
  for (int duty = 0; duty < kPlatformDuties; ++duty) {
    auto& queue = lane.queues[duty];
    while (!queue.empty() && now - queue.front().since >= most) {
      if (away)
        RefuseAway(duty, queue.front().ticket);
      else
        Refuse(duty, queue.front().ticket, ResultCode::kPlatformLimited,
               "waited too long for this host's share");
      queue.pop_front();
    }
  }
}

void PlatformLimiter::Private::RefuseAway(int duty, std::uint64_t ticket) {
  Refuse(duty, ticket, ResultCode::kPlatformUnavailable,
         "was not made: the platform does not answer");
}

// One call after each pause finds out whether the platform is back.
void PlatformLimiter::Private::Probe(Time now) {
  for (Lane& lane : lanes) {
    const int duty = lane.NextDuty();
    if (duty < 0)
      continue;
    decided.push_back({lane.queues[duty].front().ticket, {}});
    lane.queues[duty].pop_front();
    retry_at = now + pause / 2 +
               Time(random() % static_cast<std::uint64_t>(pause.count() + 1));
    pause = std::min(2 * pause, PauseMost());
    return;
  }
}

// The hosts of a small fleet may ask more often.
Time PlatformLimiter::Private::PauseFirst() const {
  return std::max(
      kPlatformAwayLeast,
      std::min(kPlatformAwayFirst, hosts * kPlatformAwayMostPerHost / 8));
}

Time PlatformLimiter::Private::PauseMost() const {
  return std::max(
      kPlatformAwayLeast,
      std::min(kPlatformAwayMost, hosts * kPlatformAwayMostPerHost));
}

std::size_t PlatformLimiter::Private::WaitingOf(int duty) const {
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
    it.saved = kPlatformFirstCalls;
  d_->started = false;
}

PlatformLimiter::~PlatformLimiter() = default;

void PlatformLimiter::SetHosts(std::size_t hosts, Time now) {
  d_->Refill(now);
  d_->hosts = std::max<std::int64_t>(1, static_cast<std::int64_t>(hosts));
  const auto n = static_cast<double>(d_->hosts);
  d_->lanes[0].rate = d_->fleet.reads / n;
  d_->lanes[1].rate = d_->fleet.writes / n;
}

std::uint64_t PlatformLimiter::Enqueue(PlatformDuty duty,
                                       PlatformCallKind kind,
                                       Time now) {
  const int n = static_cast<int>(duty);
  const std::uint64_t ticket = d_->next_ticket++;
  const bool is_full = d_->WaitingOf(n) >= kPlatformMostWaiting;
  if (is_full && d_->away) {
    d_->RefuseAway(n, ticket);
  } else if (is_full) {
    d_->Refuse(n, ticket, ResultCode::kPlatformLimited,
               "was not made: too many wait for this host's share");
  } else {
    Lane& lane = d_->lanes[kind == PlatformCallKind::kWrite ? 1 : 0];
    // A duty that had nothing to do has saved up no turns.
    if (lane.queues[n].empty())
      lane.turns[n] = std::max(lane.turns[n], lane.turn);
    lane.queues[n].push_back({ticket, now});
    d_->Refill(now);
    if (!d_->away)
      d_->StartCalls(lane);
    if (!lane.queues[n].empty())
      ++d_->figures[n].waited;
  }
  return ticket;
}

std::vector<PlatformDecision> PlatformLimiter::TakeDecisions(Time now) {
  d_->Refill(now);
  if (d_->away && now >= d_->retry_at)
    d_->Probe(now);
  for (Lane& it : d_->lanes) {
    if (!d_->away)
      d_->StartCalls(it);
    d_->RefuseLate(it, now);
  }
  return std::exchange(d_->decided, {});
}

std::optional<Time> PlatformLimiter::NextDecisionTime(Time now) const {
  if (!d_->decided.empty())
    return now;
  const Time most = d_->away ? kPlatformAwayWait : kPlatformMostWait;
  std::optional<Time> next;
  for (const Lane& lane : d_->lanes) {
    if (lane.NextDuty() < 0)
      continue;
    Time at = now + kPlatformMostWait;
    if (d_->away) {
      at = d_->retry_at;
    } else if (lane.rate > 0) {
      const double ms = (1 - lane.saved) / lane.rate * kMsPerSecond;
      at =
          std::min(at, d_->refilled + Time(static_cast<int>(std::ceil(
                                          std::clamp(ms, 1.0, kMsPerSecond)))));
    }
    for (const auto& queue : lane.queues) {
      if (!queue.empty())
        at = std::min(at, queue.front().since + most);
    }
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

void PlatformLimiter::EndCall(bool answered, Time now) {
  if (answered) {
    d_->failures = 0;
    if (!d_->away)
      return;
    // What was saved up during the outage is not spent at its end.
    d_->Refill(now);
    for (Lane& it : d_->lanes)
      it.saved = std::min(it.saved, kPlatformFirstCalls);
    d_->away = false;
    return;
  }
  if (d_->away || ++d_->failures < kPlatformFailuresToAway)
    return;
  d_->away = true;
  d_->pause = d_->PauseFirst();
  d_->retry_at =
      now +
      Time(d_->random() % (2 * static_cast<std::uint64_t>(d_->pause.count())));
}

bool PlatformLimiter::unavailable() const {
  return d_->away;
}

PlatformRates PlatformLimiter::share() const {
  return {d_->lanes[0].rate, d_->lanes[1].rate};
}

PlatformDutyStats PlatformLimiter::Stats(PlatformDuty duty) const {
  const int n = static_cast<int>(duty);
  PlatformDutyStats figures = d_->figures[n];
  figures.waiting = d_->WaitingOf(n);
  return figures;
}

}  // namespace turmericwinch
