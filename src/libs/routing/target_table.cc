#include "libs/routing/target_table.h"

#include <algorithm>
#include <map>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_table_private.h"

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

}  // namespace

std::set<std::string> TargetTable::Private::ServicesWithAnswers() const {
  std::set<std::string> services;
  for (const auto& [name, it] : targets) {
    if (it.load.has_answered())
      services.insert(it.service);
  }
  return services;
}

void TargetTable::Private::IndexGroups() {
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
    target.cold.RecordStart(now);
    auto known = d_->targets.find(it.name);
    if (known != d_->targets.end() &&
        known->second.member.incarnation == it.incarnation &&
        known->second.member.address == it.address)
      target = std::move(known->second);
    else {
      target.id = d_->next_id++;
      if (known != d_->targets.end())
        target.cold.KeepPresumption(known->second.cold);
      if (with_answers.contains(target_class->service))
        target.joined_at = now;
    }
    d_->UpdateCold(target, it, *target_class, now);
    target.service = target_class->service;
    target.max_in_flight = target_class->most_in_flight;
    target.tier = tier;
    target.memory.SetCapacity(target_class->memory_tokens);
    target.evacuated = d_->evacuated_domains.contains(it.failure_domain);
    targets.emplace(it.name, std::move(target));
  }
  d_->targets = std::move(targets);
  d_->updated_at = now;
  d_->has_listed = d_->has_listed || !list.targets.empty();
  const auto hosts = std::count_if(
      list.hosts.begin(), list.hosts.end(), [this](const ListedMember& it) {
        return it.failure_domain == d_->failure_domain && !it.leaving;
      });
  d_->hosts = static_cast<double>(std::max<std::ptrdiff_t>(hosts, 1));
  d_->IndexGroups();
  for (auto& [service, tiers] : d_->groups) {
    for (auto& [tier, group] : tiers)
      group.EjectSlowTargets(now);
  }
}

void TargetTable::SetEvacuatedDomains(std::set<std::string> domains,
                                      TimePoint now) {
  d_->evacuated_domains = std::move(domains);
  for (auto& [name, it] : d_->targets) {
    const bool is_evacuated =
        d_->evacuated_domains.contains(it.member.failure_domain);
    // The target may have become cold meanwhile, and its registration may be
    // older than that.
    if (it.evacuated && !is_evacuated)
      d_->PresumeCold(it, ColdCause::kEvacuationEnded, now);
    it.evacuated = is_evacuated;
  }
  d_->IndexGroups();
}

void TargetTable::SetFleet(std::vector<std::string> hosts) {
  if (hosts == d_->fleet)
    return;
  d_->fleet = std::move(hosts);
  d_->UpdateColdShares();
}

void TargetTable::SetColdBound(double overshoot, double tolerance) {
  d_->cold_overshoot = overshoot;
  d_->cold_tolerance = tolerance;
  d_->UpdateColdShares();
}

void TargetTable::SetColdHandler(
    std::function<void(const ColdNotice&)> handler) {
  d_->on_cold = std::move(handler);
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
    *reason = d_->ReasonOfNoTarget(query);
    return std::nullopt;
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
  target->memory.EndRequest(choice.held_tokens);
  if (outcome == AttemptOutcome::kGood)
    target->load.RecordGoodAnswer();
  if (token_time.count() > 0)
    target->load.RecordTokenTime(token_time, now);
  // A target that can't be reached may have stopped and come back cold before
  // its registration shows that.
  if (outcome == AttemptOutcome::kRefused)
    d_->PresumeCold(*target, ColdCause::kRefused, now);
  if (target->health.RecordOutcome(outcome, now) &&
      d_->groups[target->service][target->tier].MayEject(now))
    target->health.Eject(now);
}

bool TargetTable::RecordNotice(const TargetChoice& choice,
                               const TargetNotice& notice,
                               TimePoint now) {
  Target* target = d_->Find(choice);
  if (!target)
    return false;
  const bool starts_leaving = notice.leaving && !target->says_leaving;
  target->says_leaving = target->says_leaving || notice.leaving;
  target->paused_until = std::max(target->paused_until, now + notice.pause);
  return starts_leaving || notice.pause.count() > 0;
}

void TargetTable::RecordLoadReport(const std::string& name,
                                   const LoadReport& report) {
  auto it = d_->targets.find(name);
  if (it != d_->targets.end())
    it->second.load.RecordReport(report);
}

void TargetTable::RecordReportedLoad(const TargetChoice& choice,
                                     const ReportedLoad& load,
                                     TimePoint now) {
  Target* target = d_->Find(choice);
  if (!target)
    return;
  if (load.speed_percent)
    target->load.RecordReportedSpeed(*load.speed_percent, now);
  target->memory.RecordReport(load.running + load.waiting,
                              d_->mean_held_tokens[target->service].mean(),
                              now);
}

std::vector<TargetStats> TargetTable::Stats(TimePoint now) const {
  std::vector<TargetStats> stats;
  for (const auto& [name, it] : d_->targets) {
    stats.push_back(
        {name, it.member.failure_domain, it.service, it.member.address,
         it.load.in_flight(), it.IsLeaving(), it.health.State(now),
         it.health.ejections(), it.limit.limit(), it.load.WaitSeconds(now),
         it.load.seconds_per_token(), it.load.seconds_per_prompt_token(),
         it.rate_limit.limit().value_or(0), it.evacuated, it.cold.IsCold(now),
         it.load.SpeedFactor(now), it.memory.own_tokens(),
         it.memory.UsedTokens(now)});
  }
  return stats;
}

}  // namespace turmericwinch
