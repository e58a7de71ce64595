// Targets of one service in one tier, indexed for the choice.

#ifndef SRC_LIBS_ROUTING_TARGET_GROUP_H_
#define SRC_LIBS_ROUTING_TARGET_GROUP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/routing/concurrency_limit.h"
#include "libs/routing/host_list.h"
#include "libs/routing/prefix_ring.h"
#include "libs/routing/target_health.h"
#include "libs/routing/target_load.h"

namespace turmericwinch {

// One target. `id` is new for each incarnation.
struct Target {
  ListedMember member;
  std::string service;
  std::int64_t most_in_flight = 1;
  int tier = 0;
  std::uint64_t id = 0;
  // When it came while other targets of its service were at work.
  std::optional<TargetHealth::TimePoint> came;
  TargetLoad load{1};
  ConcurrencyLimit limit;
  TargetHealth health;

  // Requests that may be in flight at once. Few at a newcomer that has not
  // answered yet: its speed is not known, and all hosts see it at the same
  // time.
  double Room(TargetHealth::TimePoint now) const;
  // Share of its load that it may get: 0 to 1. That of a newcomer grows with
  // time and with its good answers, as all hosts see it without work at the
  // same time and know nothing of each other's requests.
  double Share(TargetHealth::TimePoint now) const;
};

// `followed` is the subset that this host compares: each host learns from few
// targets often instead of from many too rarely. Pointers are not owned.
struct TargetGroup {
  std::vector<Target*> targets;
  std::vector<Target*> followed;
  std::unordered_map<std::uint64_t, Target*> by_id;
  PrefixRing ring;

  // Fills the indexes from `targets`; `host` seeds the subset. The limits leave
  // each of the `hosts` a part of every target it follows.
  void Index(std::uint64_t host, double hosts);
  // Sum of the limits of the followed targets that get work.
  double FollowedLimit(TargetHealth::TimePoint now) const;
  // Whether one more target may be taken out.
  bool MayEject(TargetHealth::TimePoint now) const;
  // Ejects followed targets whose wait is far above the middle one.
  void EjectSlow(TargetHealth::TimePoint now);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_GROUP_H_
