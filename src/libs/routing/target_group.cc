#include "libs/routing/target_group.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

double Target::Room(TargetHealth::TimePoint now) const {
  if (came && !load.is_proven())
    return kNewcomerInFlight;
  return std::max(static_cast<double>(most_in_flight) * health.Share(now), 1.0);
}

double Target::Share(TargetHealth::TimePoint now) const {
  const double share = health.Share(now);
  if (!came)
    return share;
  const std::chrono::duration<double> age = now - *came;
  const std::chrono::duration<double> start = kNewcomerStart;
  const double known =
      static_cast<double>(load.good_answers()) / kNewcomerAnswers;
  return share * std::clamp(std::max(age / start, known), kSlowStartLeast, 1.0);
}

double TargetGroup::FollowedLimit(TargetHealth::TimePoint now) const {
  double sum = 0;
  for (const Target* it : followed) {
    if (!it->member.leaving)
      sum += it->limit.limit() * it->health.Share(now);
  }
  return sum;
}

void TargetGroup::Index(std::uint64_t host, double hosts) {
  std::vector<std::pair<std::uint64_t, Target*>> ranked;
  for (std::size_t n = 0; n < targets.size(); ++n) {
    Target* target = targets[n];
    by_id[target->id] = target;
    ring.Add(Hash64(target->member.name), n);
    ranked.emplace_back(Hash64(target->member.name, host), target);
  }
  ring.Seal();
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kFollowedTargets));
  for (const auto& it : ranked)
    followed.push_back(it.second);
  // Hosts that follow one target, on average.
  const double followers = hosts * static_cast<double>(followed.size()) /
                           static_cast<double>(targets.size());
  for (Target* it : targets) {
    const auto most = static_cast<double>(it->most_in_flight);
    it->limit.SetBounds(most * kLimitLeastShare / std::max(followers, 1.0),
                        most);
  }
}

bool TargetGroup::MayEject(TargetHealth::TimePoint now) const {
  const auto kept = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(), [&](const Target* it) {
        return !it->member.leaving && it->health.Share(now) > 0;
      }));
  return kept > 1 && (kept - 1) * 100 >= targets.size() * kLeastKeptPercent;
}

void TargetGroup::EjectSlow(TargetHealth::TimePoint now) {
  std::vector<double> waits;
  for (const Target* it : followed)
    waits.push_back(it->load.WaitSeconds(now));
  if (waits.size() < 3)
    return;
  const auto middle =
      waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), middle, waits.end());
  const double bound = std::max(*middle * kSlowFactor, kSlowLeastSeconds);
  for (Target* it : followed) {
    if (it->health.State(now) == TargetState::kServing &&
        it->load.WaitSeconds(now) > bound &&
        it->health.Note(AttemptOutcome::kSlow, now) && MayEject(now))
      it->health.Eject(now);
  }
}

}  // namespace turmericwinch
