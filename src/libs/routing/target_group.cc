#include "libs/routing/target_group.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

double Target::AllowedInFlight(TargetHealth::TimePoint now) const {
  if (joined_at && !load.has_answered())
    return kNewTargetMaxInFlight;
  return std::max(static_cast<double>(max_in_flight) * health.Weight(now), 1.0);
}

double Target::Weight(TargetHealth::TimePoint now) const {
  const double weight = health.Weight(now);
  if (!joined_at)
    return weight;
  const std::chrono::duration<double> age = now - *joined_at;
  const std::chrono::duration<double> start = kNewTargetSlowStart;
  const double answered =
      static_cast<double>(load.good_answers()) / kNewTargetAnswers;
  return weight *
         std::clamp(std::max(age / start, answered), kMinSlowStartWeight, 1.0);
}

double TargetGroup::SubsetLimit(TargetHealth::TimePoint now) const {
  double sum = 0;
  for (const Target* it : subset) {
    if (!it->IsClosed(now))
      sum += it->limit.limit() * it->health.Weight(now);
  }
  return sum;
}

void TargetGroup::BuildIndexes(std::uint64_t host, double hosts) {
  std::vector<std::pair<std::uint64_t, Target*>> ranked;
  for (std::size_t n = 0; n < targets.size(); ++n) {
    Target* target = targets[n];
    by_id[target->id] = target;
    ring.AddTarget(Hash64(target->member.name), n);
    // Evacuated targets in the subset would leave requests few to compare.
    if (!target->evacuated)
      ranked.emplace_back(Hash64(target->member.name, host), target);
  }
  ring.SortPoints();
  std::sort(ranked.begin(), ranked.end());
  const std::size_t open = std::max<std::size_t>(ranked.size(), 1);
  ranked.resize(std::min(ranked.size(), kSubsetSize));
  for (const auto& it : ranked)
    subset.push_back(it.second);
  // Average number of hosts that have one target in their subset.
  const double hosts_per_target =
      hosts * static_cast<double>(subset.size()) / static_cast<double>(open);
  for (Target* it : targets) {
    const auto max = static_cast<double>(it->max_in_flight);
    it->limit.SetBounds(
        max * kMinLimitFraction / std::max(hosts_per_target, 1.0), max);
  }
}

bool TargetGroup::MayEject(TargetHealth::TimePoint now) const {
  const auto kept = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(), [&](const Target* it) {
        return !it->IsClosed(now) && it->health.Weight(now) > 0;
      }));
  // Evacuated targets get no work in any case, so they don't keep a broken
  // target in use.
  const auto open = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(),
                    [](const Target* it) { return !it->evacuated; }));
  return kept > 1 && (kept - 1) * 100 >= open * kMinKeptPercent;
}

void TargetGroup::EjectSlowTargets(TargetHealth::TimePoint now) {
  std::vector<double> waits;
  for (const Target* it : subset)
    waits.push_back(it->load.WaitSeconds(now));
  if (waits.size() < 3)
    return;
  const auto median =
      waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), median, waits.end());
  const double bound = std::max(*median * kSlowFactor, kMinSlowSeconds);
  for (Target* it : subset) {
    if (it->health.State(now) == TargetState::kServing &&
        it->load.WaitSeconds(now) > bound &&
        it->health.RecordOutcome(AttemptOutcome::kSlow, now) && MayEject(now))
      it->health.Eject(now);
  }
}

}  // namespace turmericwinch
