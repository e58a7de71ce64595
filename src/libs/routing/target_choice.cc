// The choice of a target for one attempt.

#include <algorithm>
#include <iterator>
#include <vector>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_table_private.h"

namespace turmericwinch {

namespace {

// The targets that the request is compared on: those of the subset, without
// those in domains that the request may not reach. A subset without any allowed
// target must not leave all such requests to the first target of the last
// resort, so the whole group replaces it.
std::vector<Target*> AllowedTargets(const TargetGroup& group,
                                    const RoutingQuery& query) {
  std::vector<Target*> allowed;
  for (const auto* targets : {&group.subset, &group.targets}) {
    std::copy_if(
        targets->begin(), targets->end(), std::back_inserter(allowed),
        [&](const Target* it) { return query.IsInAllowedDomain(it->member); });
    if (!allowed.empty())
      break;
  }
  return allowed;
}

}  // namespace

bool TargetTable::Private::IsLeftToLonger(const TargetGroup& group,
                                          const Target& target,
                                          const RoutingQuery& query) const {
  if (!target.rate_limit.limit() || target.rate_limit.IsUnderused(query.now))
    return false;
  auto mean = mean_prompt_tokens.find(query.request.service);
  if (mean == mean_prompt_tokens.end() ||
      static_cast<double>(query.request.prompt_tokens) >= mean->second)
    return false;
  return std::any_of(
      group.targets.begin(), group.targets.end(), [&](const Target* it) {
        return query.Allows(it->member) && !it->rate_limit.limit() &&
               !it->IsClosed(query.now) && it->health.Weight(query.now) > 0;
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
    if (weight == 0 || it->IsClosed(query.now) ||
        static_cast<double>(it->load.in_flight()) >=
            it->AllowedInFlight(query.now) ||
        !query.Allows(it->member) || !it->rate_limit.MayStart(query.now) ||
        !it->cold.MayStart(query.now) ||
        !it->memory.HasRoom(query.HeldTokens(), query.now) ||
        IsLeftToLonger(group, *it, query))
      return;
    const double uncached = std::max(prompt - cached, 1.0);
    const double domain_penalty = it->member.failure_domain == failure_domain
                                      ? 0
                                      : kNearDomainPenaltySeconds;
    const double prefill_again =
        (shared - cached) * kPrefillAgainSecondsPerToken;
    const double cost =
        (it->load.Cost(uncached, query.now) + prefill_again + domain_penalty) *
        it->memory.CostFactor(query.HeldTokens(), query.now) / weight;
    if (!best.target || cost < best.cost)
      best = {it, cost, uncached};
  };
  std::vector<Target*> allowed;
  if (request.domains)
    allowed = AllowedTargets(group, query);
  const std::vector<Target*>& pool = request.domains ? allowed : group.subset;
  const bool compare_all = pool.size() <= kSampledTargets;
  const std::size_t compared = compare_all ? pool.size() : kSampledTargets;
  for (std::size_t n = 0; n < compared; ++n) {
    const std::size_t index = compare_all ? n : random() % pool.size();
    consider(pool[index], 0);
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
      if (it->IsLeaving() || it->evacuated || state == TargetState::kLeaving ||
          !query.Allows(it->member))
        continue;
      if (it->IsClosed(query.now))
        *obstacle = "wants no request for now";
      else if (!it->rate_limit.MayStart(query.now))
        *obstacle = "has reached its rate limit";
      else if (!it->cold.MayStart(query.now))
        *obstacle = "is cold and gets its requests from other hosts for now";
      else if (it->load.in_flight() >= it->max_in_flight)
        *obstacle = "is full";
      else if (!it->memory.HasRoom(query.HeldTokens(), query.now))
        *obstacle = "lacks the memory for the request";
      else if (it->health.Weight(query.now) > 0)
        return it;
      else if (!ejected)
        ejected = it;
    }
  }
  return *obstacle ? nullptr : ejected;
}

Reason TargetTable::Private::ReasonOfNoTarget(const RoutingQuery& query) const {
  const std::string& name = query.request.service;
  auto service = groups.find(name);
  bool is_known = false;
  bool is_allowed = false;
  if (service != groups.end()) {
    for (const auto& [tier, group] : service->second) {
      is_known = is_known || !group.targets.empty();
      for (const Target* it : group.targets) {
        if (!query.IsInAllowedDomain(it->member))
          continue;
        if (it->evacuated && query.Allows(it->member)) {
          return {ResultCode::kDomainEvacuated,
                  "every target of " + name +
                      " that may get the request is in an evacuated failure "
                      "domain"};
        }
        is_allowed = true;
      }
    }
  }
  if (is_known && !is_allowed && query.request.domains) {
    return {ResultCode::kNoAllowedTarget,
            "no target of " + name +
                " is in a region that the route and the team allow"};
  }
  return {ResultCode::kNoTarget, "no target of " + name + " is known"};
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
  target.cold.RecordStart(query.now);
  choice.held_tokens = query.HeldTokens();
  target.memory.BeginRequest(choice.held_tokens);
  mean_held_tokens[request.service].Record(
      target.memory.AtMostCapacity(choice.held_tokens));
  if (!request.team.empty())
    teams[request.service].BeginRequest(request.team);
  if (request.prefix != 0)
    prefixes.RecordSent(request.prefix, target.id, query.now);
  choice.queued_tokens = target.load.pending_prompt_tokens();
  choice.in_flight = target.load.in_flight();
  return choice;
}

}  // namespace turmericwinch
