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

// Order in which failure domains are tried; the own one is 0.
constexpr int kNotReachable = -1;

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

// A wish and where it stands.
struct Asking {
  const RoutingRequest& wish;
  const std::set<std::string>& excluded;
  TargetTable::TimePoint now;
};

// The best target so far.
struct Best {
  Target* target = nullptr;
  double cost = 0;
  double prompt = 0;
};

}  // namespace

class TargetTable::Private {
 public:
  Private(std::string failure_domain, const std::string& host)
      : failure_domain(std::move(failure_domain)),
        host_hash(Hash64(host)),
        random(host_hash) {}

  // Services of which a known target has answered.
  std::set<std::string> ServicesAtWork() const;
  // `hosts` share the targets.
  void IndexGroups(double hosts);
  Target* Find(const TargetChoice& choice);
  Best Compare(TargetGroup& group, const Asking& asking);
  // Any target with room that the sample missed, nearest tier first; if none
  // is healthy, one that was ejected, so that no detector empties a service.
  Target* LastResort(const Asking& asking, bool* any_full);
  TargetChoice Count(const Asking& asking, Target& target, double prompt);
  // Sum of the limits of the nearest tier that gets work.
  double LimitOf(const std::string& service, TimePoint now) const;
  ShareStatus SampleOf(const RoutingRequest& wish, TimePoint now) const;
  // Whether the wish's team has its share in flight and the limits are reached
  // but for the part that is kept for other teams.
  bool IsHeld(const RoutingRequest& wish, TimePoint now) const;

  std::string failure_domain;
  std::uint64_t host_hash;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  std::map<std::string, Target> targets;
  // Groups of a service, by tier.
  std::map<std::string, std::map<int, TargetGroup>> groups;
  std::map<std::string, TeamShares> teams;
  PrefixRecord prefixes;
};

std::set<std::string> TargetTable::Private::ServicesAtWork() const {
  std::set<std::string> services;
  for (const auto& [name, it] : targets) {
    if (it.load.is_proven())
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
      group.Index(host_hash, hosts);
  }
}

Target* TargetTable::Private::Find(const TargetChoice& choice) {
  auto it = targets.find(choice.name);
  return it != targets.end() && it->second.id == choice.id ? &it->second
                                                           : nullptr;
}

double TargetTable::Private::LimitOf(const std::string& service,
                                     TimePoint now) const {
  auto found = groups.find(service);
  if (found == groups.end())
    return 0;
  for (const auto& [tier, group] : found->second) {
    const double limit = group.FollowedLimit(now);
    if (limit > 0)
      return limit;
  }
  return 0;
}

ShareStatus TargetTable::Private::SampleOf(const RoutingRequest& wish,
                                           TimePoint now) const {
  auto shares = teams.find(wish.service);
  if (wish.team.empty() || shares == teams.end() ||
      !shares->second.HasOthers(wish.team))
    return ShareStatus::kOnlyTeam;
  const bool over =
      shares->second.IsOver(wish.team, LimitOf(wish.service, now));
  return over ? ShareStatus::kOverShare : ShareStatus::kWithinShare;
}

// Targets are limited in sum, so that the choice among them stays free.
bool TargetTable::Private::IsHeld(const RoutingRequest& wish,
                                  TimePoint now) const {
  if (SampleOf(wish, now) != ShareStatus::kOverShare)
    return false;
  const double limit = LimitOf(wish.service, now);
  const double kept = std::max(limit * kLimitKeptShare, 1.0);
  const std::int64_t in_flight = teams.at(wish.service).in_flight();
  return static_cast<double>(in_flight) >= std::max(limit - kept, 1.0);
}

Best TargetTable::Private::Compare(TargetGroup& group, const Asking& asking) {
  Best best;
  const RoutingRequest& wish = asking.wish;
  const auto prompt = static_cast<double>(wish.prompt_tokens);
  const auto shared = static_cast<double>(wish.prefix_tokens);
  auto consider = [&](Target* it, double cached) {
    const double share = it->Share(asking.now);
    if (share == 0 || it->member.leaving ||
        static_cast<double>(it->load.in_flight()) >= it->Room(asking.now) ||
        asking.excluded.contains(it->member.name))
      return;
    const double uncached = std::max(prompt - cached, 1.0);
    const double distance =
        it->member.failure_domain == failure_domain ? 0 : kNearSeconds;
    const double read_again = (shared - cached) * kReadAgainSeconds;
    const double cost =
        (it->load.Cost(uncached, asking.now) + read_again + distance) / share;
    if (!best.target || cost < best.cost)
      best = {it, cost, uncached};
  };
  const bool all = group.followed.size() <= kSampledTargets;
  const std::size_t compared = all ? group.followed.size() : kSampledTargets;
  for (std::size_t n = 0; n < compared; ++n) {
    const std::size_t drawn = all ? n : random() % group.followed.size();
    consider(group.followed[drawn], 0);
  }
  if (wish.prefix != 0) {
    for (std::size_t n : group.ring.Homes(wish.prefix))
      consider(group.targets[n], shared * kHomeShare);
    for (std::uint64_t id : prefixes.Holders(wish.prefix, asking.now)) {
      auto it = group.by_id.find(id);
      if (it != group.by_id.end())
        consider(it->second, shared);
    }
  }
  return best;
}

Target* TargetTable::Private::LastResort(const Asking& asking, bool* any_full) {
  Target* ejected = nullptr;
  auto service = groups.find(asking.wish.service);
  if (service == groups.end())
    return nullptr;
  for (auto& [tier, group] : service->second) {
    for (Target* it : group.targets) {
      const TargetState state = it->health.State(asking.now);
      if (it->member.leaving || state == TargetState::kLeaving ||
          asking.excluded.contains(it->member.name))
        continue;
      if (it->load.in_flight() >= it->most_in_flight)
        *any_full = true;
      else if (it->health.Share(asking.now) > 0)
        return it;
      else if (!ejected)
        ejected = it;
    }
  }
  return *any_full ? nullptr : ejected;
}

TargetChoice TargetTable::Private::Count(const Asking& asking,
                                         Target& target,
                                         double prompt) {
  const RoutingRequest& wish = asking.wish;
  TargetChoice choice{target.member.name, target.member.address,
                      target.member.incarnation, target.id, prompt};
  choice.sample = SampleOf(wish, asking.now);
  choice.service = wish.service;
  choice.team = wish.team;
  choice.sent = asking.now;
  target.load.Begin(prompt, asking.now);
  if (!wish.team.empty())
    teams[wish.service].Begin(wish.team);
  if (wish.prefix != 0)
    prefixes.Note(wish.prefix, target.id, asking.now);
  choice.ahead = target.load.pending_prompt();
  choice.in_flight = target.load.in_flight();
  return choice;
}

TargetTable::TargetTable(std::string failure_domain, const std::string& host)
    : d_(std::make_unique<Private>(std::move(failure_domain), host)) {}

TargetTable::~TargetTable() = default;

void TargetTable::Update(const HostList& list,
                         const ConfigSnapshot& config,
                         TimePoint now) {
  const std::set<std::string> at_work = d_->ServicesAtWork();
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
      if (at_work.contains(target_class->service))
        target.came = now;
    }
    target.member = it;
    target.service = target_class->service;
    target.most_in_flight = target_class->most_in_flight;
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
      group.EjectSlow(now);
  }
}

std::optional<TargetChoice> TargetTable::BeginAttempt(
    const RoutingRequest& wish,
    const std::set<std::string>& excluded,
    TimePoint now,
    Reason* reason) {
  if (!wish.team.empty())
    d_->teams[wish.service].Seen(wish.team, wish.share, now);
  if (wish.limited && d_->IsHeld(wish, now)) {
    return Fail(
        reason, ResultCode::kOverloaded,
        "team " + wish.team + " has its share in flight at " + wish.service);
  }
  const Asking asking{wish, excluded, now};
  auto service = d_->groups.find(wish.service);
  if (service != d_->groups.end()) {
    for (auto& [tier, group] : service->second) {
      const Best best = d_->Compare(group, asking);
      if (best.target)
        return d_->Count(asking, *best.target, best.prompt);
    }
  }
  bool any_full = false;
  Target* last = d_->LastResort(asking, &any_full);
  if (last)
    return d_->Count(asking, *last, static_cast<double>(wish.prompt_tokens));
  return Fail(reason,
              any_full ? ResultCode::kOverloaded : ResultCode::kNoTarget,
              any_full ? "every target of " + wish.service + " is full"
                       : "no target of " + wish.service + " is known");
}

bool TargetTable::IsOverShare(const RoutingRequest& wish, TimePoint now) const {
  return d_->SampleOf(wish, now) == ShareStatus::kOverShare;
}

void TargetTable::RecordFirstToken(TargetChoice& choice,
                                   std::chrono::duration<double> elapsed,
                                   TimePoint now) {
  Target* target = d_->Find(choice);
  if (target && !choice.had_first_token) {
    target->load.FirstToken(choice.prompt, choice.ahead, elapsed, choice.sent,
                            now);
    target->limit.FirstToken(choice.sample, elapsed, choice.prompt,
                             choice.in_flight, now);
  }
  choice.had_first_token = true;
}

void TargetTable::EndAttempt(const TargetChoice& choice,
                             AttemptOutcome answer,
                             std::chrono::duration<double> token_time,
                             TimePoint now) {
  if (!choice.team.empty())
    d_->teams[choice.service].End(choice.team);
  Target* target = d_->Find(choice);
  if (!target)
    return;
  target->load.End(choice.prompt, choice.had_first_token, choice.sent);
  if (answer == AttemptOutcome::kGood)
    target->load.NoteGood();
  if (token_time.count() > 0)
    target->load.NoteTokenTime(token_time);
  if (target->health.Note(answer, now) &&
      d_->groups[target->service][target->tier].MayEject(now))
    target->health.Eject(now);
}

void TargetTable::RecordLoadReport(const std::string& name,
                                   const LoadReport& report) {
  auto it = d_->targets.find(name);
  if (it != d_->targets.end())
    it->second.load.NoteReport(report);
}

std::vector<TargetStats> TargetTable::Stats(TimePoint now) const {
  std::vector<TargetStats> figures;
  for (const auto& [name, it] : d_->targets) {
    figures.push_back(
        {name, it.member.failure_domain, it.service, it.member.address,
         it.load.in_flight(), it.member.leaving, it.health.State(now),
         it.health.ejections(), it.limit.limit(), it.load.WaitSeconds(now),
         it.load.seconds_per_token(), it.load.seconds_per_prompt_token()});
  }
  return figures;
}

}  // namespace turmericwinch
