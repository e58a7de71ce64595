#include "libs/routing/target_table.h"

#include <algorithm>
#include <map>
#include <random>

#include "libs/base/digest.h"
#include "libs/routing/prefix_record.h"
#include "libs/routing/routing_constants.h"
#include "libs/routing/target_group.h"
#include "libs/routing/team_shares.h"

namespace turmericwinch {

namespace {

// Tier of a failure domain to which this host must not send.
constexpr int kNotReachable = -1;

// Tiers are tried in ascending order: 0 for the own domain and its near
// domains, then the overflow domains in the configured order.
int TierOf(const std::string& own,
           const std::string& domain,
           const ConfigSnapshot& config) {
  if (own == domain)
    return 0;
  const FailureDomainConfig* settings = config.FailureDomain(own);
  if (!settings)
    return kNotReachable;
  if (std::find(settings->near.begin(), settings->near.end(), domain) !=
      settings->near.end())
    return 0;
  auto it =
      std::find(settings->overflow.begin(), settings->overflow.end(), domain);
  if (it == settings->overflow.end())
    return kNotReachable;
  return 1 + static_cast<int>(it - settings->overflow.begin());
}

// A request to route, with the targets it must not use.
struct RoutingQuery {
  const RoutingRequest& request;
  const std::set<std::string>& excluded;
  TargetTable::TimePoint now;
};

// The best target found so far, its cost and the prompt tokens that it has not
// cached.
struct Candidate {
  Target* target = nullptr;
  double cost = 0;
  double uncached_tokens = 0;
};

}  // namespace

class TargetTable::Private {
 public:
  Private(std::string failure_domain, const std::string& host)
      : failure_domain(std::move(failure_domain)),
        host_hash(Hash64(host)),
        random(host_hash) {}

  // Services with at least one target that has answered a request.
  std::set<std::string> ServicesWithAnswers() const;
  // Rebuilds the groups; `hosts` is the number of hosts that share the targets.
  void IndexGroups(double hosts);
  Target* Find(const TargetChoice& choice);
  Candidate FindBest(TargetGroup& group, const RoutingQuery& query);
  // Whether a target with a rate limit is left to requests with longer prompts.
  // A limit counts requests, so long ones relieve the other targets most.
  bool IsLeftToLonger(const TargetGroup& group,
                      const Target& target,
                      const RoutingQuery& query) const;
  // Any target with room that the sample missed, nearest tier first. If none is
  // healthy, an ejected one, so that failure detection can't leave a service
  // without targets. Sets `obstacle` to why targets can't take the request now.
  Target* FindLastResort(const RoutingQuery& query, const char** obstacle);
  TargetChoice StartAttempt(const RoutingQuery& query,
                            Target& target,
                            double uncached_tokens);
  // Sum of the concurrency limits of the nearest tier that may get requests.
  double ServiceLimit(const std::string& service, TimePoint now) const;
  ShareStatus ShareStatusOf(const RoutingRequest& request, TimePoint now) const;
  // Whether the request's team has its share in flight and only the part of the
  // limits that is reserved for other teams is free.
  bool MustWait(const RoutingRequest& request, TimePoint now) const;

  std::string failure_domain;
  std::uint64_t host_hash;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  std::map<std::string, Target> targets;
  // Groups of a service, by tier.
  std::map<std::string, std::map<int, TargetGroup>> groups;
  std::map<std::string, TeamShares> teams;
  PrefixRecord prefixes;
  // Moving averages of the prompt tokens of requests, by service.
  std::map<std::string, double> mean_prompt_tokens;
  // Share of a rate limit that this host may use until SetRateShare().
  double first_rate_share = 1;
};

std::set<std::string> TargetTable::Private::ServicesWithAnswers() const {
  std::set<std::string> services;
  for (const auto& [name, it] : targets) {
    if (it.load.has_answered())
      services.insert(it.service);
  }
  return services;
}

void TargetTable::Private::IndexGroups(double hosts) {
  groups.clear();
  for (auto& [name, target] : targets)
    groups[target.service][target.tier].targets.push_back(&target);
  for (auto& [service, tiers] : groups) {
    for (auto& [tier, group] : tiers)
      group.BuildIndexes(host_hash, hosts);
  }
}

Target* TargetTable::Private::Find(const TargetChoice& choice) {
  auto it = targets.find(choice.name);
  return it != targets.end() && it->second.id == choice.id ? &it->second
                                                           : nullptr;
}

double TargetTable::Private::ServiceLimit(const std::string& service,
                                          TimePoint now) const {
  auto found = groups.find(service);
  if (found == groups.end())
    return 0;
  for (const auto& [tier, group] : found->second) {
    const double limit = group.SubsetLimit(now);
    if (limit > 0)
      return limit;
  }
  return 0;
}

ShareStatus TargetTable::Private::ShareStatusOf(const RoutingRequest& request,
                                                TimePoint now) const {
  auto shares = teams.find(request.service);
  if (request.team.empty() || shares == teams.end() ||
      !shares->second.HasOtherActive(request.team))
    return ShareStatus::kOnlyTeam;
  const bool is_over = shares->second.IsOverShare(
      request.team, ServiceLimit(request.service, now));
  return is_over ? ShareStatus::kOverShare : ShareStatus::kWithinShare;
}

// The limits apply to the sum over the targets, so that they don't restrict the
// choice of a target.
bool TargetTable::Private::MustWait(const RoutingRequest& request,
                                    TimePoint now) const {
  if (ShareStatusOf(request, now) != ShareStatus::kOverShare)
    return false;
  const double limit = ServiceLimit(request.service, now);
  const double reserved = std::max(limit * kReservedLimitFraction, 1.0);
  const std::int64_t in_flight = teams.at(request.service).in_flight();
  return static_cast<double>(in_flight) >= std::max(limit - reserved, 1.0);
}

bool TargetTable::Private::IsLeftToLonger(const TargetGroup& group,
                                          const Target& target,
                                          const RoutingQuery& query) const {
  if (!target.rate_limit.limit() || target.rate_limit.IsUnderused(query.now))
    return false;
  auto mean = mean_prompt_tokens.find(query.request.service);
  if (mean == mean_prompt_tokens.end() ||
      static_cast<double>(query.request.prompt_tokens) >= mean->second)
    return false;
  return std::any_of(group.targets.begin(), group.targets.end(),
                     [&](const Target* it) {
                       return !it->rate_limit.limit() && !it->member.leaving &&
                              it->health.Weight(query.now) > 0;
                     });
}

Candidate TargetTable::Private::FindBest(TargetGroup& group,
                                         const RoutingQuery& query) {
  Candidate best;
  const RoutingRequest& request = query.request;
  const auto prompt = static_cast<double>(request.prompt_tokens);
  const auto shared = static_cast<double>(request.prefix_tokens);
  auto consider = [&](Target* it, double cached) {
    const double weight = it->Weight(query.now);
    if (weight == 0 || it->member.leaving ||
        static_cast<double>(it->load.in_flight()) >=
            it->AllowedInFlight(query.now) ||
        query.excluded.contains(it->member.name) ||
        !it->rate_limit.MayStart(query.now) ||
        IsLeftToLonger(group, *it, query))
      return;
    const double uncached = std::max(prompt - cached, 1.0);
    const double domain_penalty = it->member.failure_domain == failure_domain
                                      ? 0
                                      : kNearDomainPenaltySeconds;
    const double prefill_again =
        (shared - cached) * kPrefillAgainSecondsPerToken;
    const double cost =
        (it->load.Cost(uncached, query.now) + prefill_again + domain_penalty) /
        weight;
    if (!best.target || cost < best.cost)
      best = {it, cost, uncached};
  };
  const bool compare_all = group.subset.size() <= kSampledTargets;
  const std::size_t compared =
      compare_all ? group.subset.size() : kSampledTargets;
  for (std::size_t n = 0; n < compared; ++n) {
    const std::size_t index = compare_all ? n : random() % group.subset.size();
    consider(group.subset[index], 0);
  }
  if (request.prefix != 0) {
    for (std::size_t n : group.ring.TargetsFor(request.prefix))
      consider(group.targets[n], shared * kRingCachedFraction);
    for (std::uint64_t id : prefixes.RecentTargets(request.prefix, query.now)) {
      auto it = group.by_id.find(id);
      if (it != group.by_id.end())
        consider(it->second, shared);
    }
  }
  return best;
}

Target* TargetTable::Private::FindLastResort(const RoutingQuery& query,
                                             const char** obstacle) {
  Target* ejected = nullptr;
  auto service = groups.find(query.request.service);
  if (service == groups.end())
    return nullptr;
  for (auto& [tier, group] : service->second) {
    for (Target* it : group.targets) {
      const TargetState state = it->health.State(query.now);
      if (it->member.leaving || state == TargetState::kLeaving ||
          query.excluded.contains(it->member.name))
        continue;
      if (!it->rate_limit.MayStart(query.now))
        *obstacle = "has reached its rate limit";
      else if (it->load.in_flight() >= it->max_in_flight)
        *obstacle = "is full";
      else if (it->health.Weight(query.now) > 0)
        return it;
      else if (!ejected)
        ejected = it;
    }
  }
  return *obstacle ? nullptr : ejected;
}

TargetChoice TargetTable::Private::StartAttempt(const RoutingQuery& query,
                                                Target& target,
                                                double uncached_tokens) {
  const RoutingRequest& request = query.request;
  TargetChoice choice{target.member.name, target.member.address,
                      target.member.incarnation, target.id, uncached_tokens};
  choice.share_status = ShareStatusOf(request, query.now);
  choice.service = request.service;
  choice.team = request.team;
  choice.sent_at = query.now;
  target.load.BeginRequest(uncached_tokens, query.now);
  target.rate_limit.RecordStart(query.now);
  if (!request.team.empty())
    teams[request.service].BeginRequest(request.team);
  if (request.prefix != 0)
    prefixes.RecordSent(request.prefix, target.id, query.now);
  choice.queued_tokens = target.load.pending_prompt_tokens();
  choice.in_flight = target.load.in_flight();
  return choice;
}

TargetTable::TargetTable(std::string failure_domain, const std::string& host)
    : d_(std::make_unique<Private>(std::move(failure_domain), host)) {}

TargetTable::~TargetTable() = default;

void TargetTable::Update(const HostList& list,
                         const ConfigSnapshot& config,
                         TimePoint now) {
  const std::set<std::string> with_answers = d_->ServicesWithAnswers();
  std::map<std::string, Target> targets;
  for (const ListedMember& it : list.targets) {
    const TargetClassConfig* target_class = config.TargetClass(it.target_class);
    const int tier = TierOf(d_->failure_domain, it.failure_domain, config);
    if (!target_class || tier == kNotReachable)
      continue;
    Target target;
    target.load = TargetLoad(target_class->tokens_per_second);
    auto known = d_->targets.find(it.name);
    if (known != d_->targets.end() &&
        known->second.member.incarnation == it.incarnation &&
        known->second.member.address == it.address)
      target = std::move(known->second);
    else {
      target.id = d_->next_id++;
      if (with_answers.contains(target_class->service))
        target.joined_at = now;
    }
    target.member = it;
    target.service = target_class->service;
    target.max_in_flight = target_class->most_in_flight;
    target.tier = tier;
    targets.emplace(it.name, std::move(target));
  }
  d_->targets = std::move(targets);
  const auto hosts = std::count_if(
      list.hosts.begin(), list.hosts.end(), [this](const ListedMember& it) {
        return it.failure_domain == d_->failure_domain && !it.leaving;
      });
  d_->IndexGroups(static_cast<double>(std::max<std::ptrdiff_t>(hosts, 1)));
  for (auto& [service, tiers] : d_->groups) {
    for (auto& [tier, group] : tiers)
      group.EjectSlowTargets(now);
  }
}

std::optional<TargetChoice> TargetTable::BeginAttempt(
    const RoutingRequest& request,
    const std::set<std::string>& excluded,
    TimePoint now,
    Reason* reason) {
  if (!request.team.empty())
    d_->teams[request.service].RecordRequest(request.team, request.share, now);
  if (request.limited && d_->MustWait(request, now)) {
    return Fail(reason, ResultCode::kOverloaded,
                "team " + request.team + " has its share in flight at " +
                    request.service);
  }
  const auto prompt = static_cast<double>(request.prompt_tokens);
  double& mean =
      d_->mean_prompt_tokens.try_emplace(request.service, prompt).first->second;
  mean += kPromptAverageWeight * (prompt - mean);
  const RoutingQuery query{request, excluded, now};
  auto service = d_->groups.find(request.service);
  if (service != d_->groups.end()) {
    for (auto& [tier, group] : service->second) {
      const Candidate best = d_->FindBest(group, query);
      if (best.target)
        return d_->StartAttempt(query, *best.target, best.uncached_tokens);
    }
  }
  const char* obstacle = nullptr;
  Target* last = d_->FindLastResort(query, &obstacle);
  if (last)
    return d_->StartAttempt(query, *last,
                            static_cast<double>(request.prompt_tokens));
  if (!obstacle) {
    return Fail(reason, ResultCode::kNoTarget,
                "no target of " + request.service + " is known");
  }
  return Fail(reason, ResultCode::kOverloaded,
              "every target of " + request.service + " " + obstacle);
}

bool TargetTable::IsOverShare(const RoutingRequest& request,
                              TimePoint now) const {
  return d_->ShareStatusOf(request, now) == ShareStatus::kOverShare;
}

void TargetTable::RecordFirstToken(TargetChoice& choice,
                                   std::chrono::duration<double> elapsed,
                                   TimePoint now) {
  Target* target = d_->Find(choice);
  if (target && !choice.had_first_token) {
    target->load.RecordFirstToken(choice.uncached_tokens, choice.queued_tokens,
                                  elapsed, choice.sent_at, now);
    target->limit.RecordFirstToken(choice.share_status, elapsed,
                                   choice.uncached_tokens, choice.in_flight,
                                   now);
  }
  choice.had_first_token = true;
}

void TargetTable::EndAttempt(const TargetChoice& choice,
                             AttemptOutcome outcome,
                             std::chrono::duration<double> token_time,
                             TimePoint now) {
  if (!choice.team.empty())
    d_->teams[choice.service].EndRequest(choice.team);
  Target* target = d_->Find(choice);
  if (!target)
    return;
  target->load.EndRequest(choice.uncached_tokens, choice.had_first_token,
                          choice.sent_at);
  if (outcome == AttemptOutcome::kGood)
    target->load.RecordGoodAnswer();
  if (token_time.count() > 0)
    target->load.RecordTokenTime(token_time);
  if (target->health.RecordOutcome(outcome, now) &&
      d_->groups[target->service][target->tier].MayEject(now))
    target->health.Eject(now);
}

bool TargetTable::RecordRateLimit(const TargetChoice& choice,
                                  std::optional<double> limit,
                                  TimePoint now) {
  Target* target = d_->Find(choice);
  if (!target)
    return false;
  TargetRateLimit& rate_limit = target->rate_limit;
  if (limit && !rate_limit.limit())
    rate_limit.SetShare(d_->first_rate_share, now);
  return rate_limit.RecordResponse(limit, choice.sent_at, now);
}

bool TargetTable::RecordRateLimitNotice(const RateLimitStatus& status,
                                        TimePoint now) {
  auto it = d_->targets.find(status.target);
  if (it == d_->targets.end() ||
      it->second.member.incarnation != status.incarnation)
    return false;
  TargetRateLimit& rate_limit = it->second.rate_limit;
  if (status.limit && !rate_limit.limit())
    rate_limit.SetShare(d_->first_rate_share, now);
  return rate_limit.RecordNotice(status.limit, status.heard_at, now);
}

void TargetTable::SetRateShare(const std::string& target,
                               double share,
                               TimePoint now) {
  auto it = d_->targets.find(target);
  if (it != d_->targets.end())
    it->second.rate_limit.SetShare(share, now);
}

void TargetTable::SetFirstRateShare(double share) {
  d_->first_rate_share = share;
}

std::vector<RateLimitStatus> TargetTable::RateLimits(TimePoint now) const {
  std::vector<RateLimitStatus> result;
  for (const auto& [name, it] : d_->targets) {
    const std::optional<TimePoint> heard_at = it.rate_limit.heard_at();
    if (heard_at &&
        (it.rate_limit.limit() || now - *heard_at < kRateLimitEndHold)) {
      result.push_back({name, it.member.incarnation, it.service,
                        it.rate_limit.limit(), *heard_at});
    }
  }
  return result;
}

std::optional<double> TargetTable::AllowedRate(const std::string& service,
                                               TimePoint now) const {
  std::optional<double> rate;
  for (const auto& [name, it] : d_->targets) {
    if (it.service != service || it.member.leaving ||
        it.health.Weight(now) == 0)
      continue;
    if (!it.rate_limit.limit())
      return std::nullopt;
    rate = rate.value_or(0) + it.rate_limit.own_rate();
  }
  return rate;
}

std::optional<TargetTable::TimePoint> TargetTable::NextRateStart(
    const std::string& service,
    TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [name, it] : d_->targets) {
    if (it.service != service || it.member.leaving || !it.rate_limit.limit())
      continue;
    const std::optional<TimePoint> start = it.rate_limit.NextStart(now);
    if (start && (!next || *start < *next))
      next = start;
  }
  return next;
}

void TargetTable::RecordLoadReport(const std::string& name,
                                   const LoadReport& report) {
  auto it = d_->targets.find(name);
  if (it != d_->targets.end())
    it->second.load.RecordReport(report);
}

std::vector<TargetStats> TargetTable::Stats(TimePoint now) const {
  std::vector<TargetStats> stats;
  for (const auto& [name, it] : d_->targets) {
    stats.push_back(
        {name, it.member.failure_domain, it.service, it.member.address,
         it.load.in_flight(), it.member.leaving, it.health.State(now),
         it.health.ejections(), it.limit.limit(), it.load.WaitSeconds(now),
         it.load.seconds_per_token(), it.load.seconds_per_prompt_token(),
         it.rate_limit.limit().value_or(0)});
  }
  return stats;
}

}  // namespace turmericwinch
