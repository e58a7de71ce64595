// Targets of one service in one tier, with indexes for choosing among them.

#ifndef SRC_LIBS_ROUTING_TARGET_GROUP_H_
#define SRC_LIBS_ROUTING_TARGET_GROUP_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/routing/cold_pace.h"
#include "libs/routing/concurrency_limit.h"
#include "libs/routing/host_list.h"
#include "libs/routing/prefix_ring.h"
#include "libs/routing/target_health.h"
#include "libs/routing/target_load.h"
#include "libs/routing/target_memory.h"
#include "libs/routing/target_rate_limit.h"

namespace turmericwinch {

// One target. Each incarnation gets a new `id`.
struct Target {
  ListedMember member;
  std::string service;
  std::int64_t max_in_flight = 1;
  int tier = 0;
  std::uint64_t id = 0;
  // Set for a new target: the time when it was listed while other targets of
  // its service had already answered requests.
  std::optional<TargetHealth::TimePoint> joined_at;
  TargetLoad load{1};
  ConcurrencyLimit limit;
  TargetHealth health;
  TargetRateLimit rate_limit;
  ColdPace cold;
  TargetMemory memory;
  // Time for which the target is cold after its start, 0 if it never is, and
  // the requests per second that it takes meanwhile, 0 if there is no limit.
  std::chrono::milliseconds cold_time{0};
  double cold_requests_per_second = 0;
  // Whether `cold` has this host's share for the current fleet. Computed when
  // the target becomes cold: most targets are warm when the fleet changes.
  bool has_cold_share = false;
  // Whether the target said that it leaves, and until when it wants no request.
  bool says_leaving = false;
  // Whether the target's failure domain is evacuated.
  bool evacuated = false;
  TargetHealth::TimePoint paused_until;

  bool IsLeaving() const { return member.leaving || says_leaving; }
  // Whether the target may get no new request, whatever its load.
  bool IsClosed(TargetHealth::TimePoint now) const {
    return IsLeaving() || evacuated || now < paused_until;
  }
  // Requests that this host may have in flight at the target. Few at a new
  // target that has not answered yet: its speed is unknown, and all hosts start
  // to use it at the same time.
  double AllowedInFlight(TargetHealth::TimePoint now) const;
  // Fraction of its normal traffic that the target may get, 0 to 1. The weight
  // of a new target grows with time and with its good answers: all hosts see it
  // idle at the same time and don't know of each other's requests.
  double Weight(TargetHealth::TimePoint now) const;
};

// `subset` holds the targets that this host compares. It is bounded so that the
// host measures each of them often enough. The pointers are not owned.
struct TargetGroup {
  std::vector<Target*> targets;
  std::vector<Target*> subset;
  std::unordered_map<std::uint64_t, Target*> by_id;
  PrefixRing ring;

  // Builds the indexes from `targets`; the hash `host` selects the subset. Sets
  // the bounds of the concurrency limits so that each of the `hosts` keeps a
  // part of every target in its subset.
  void BuildIndexes(std::uint64_t host, double hosts);
  // Sum of the concurrency limits of the subset, scaled by the health of each
  // target; leaving targets don't count.
  double SubsetLimit(TargetHealth::TimePoint now) const;
  // Whether one more target may be ejected.
  bool MayEject(TargetHealth::TimePoint now) const;
  // Ejects targets of the subset whose wait is far above the median.
  void EjectSlowTargets(TargetHealth::TimePoint now);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_GROUP_H_
