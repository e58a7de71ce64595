// Data of TargetTable, internal to the library.

#ifndef SRC_LIBS_ROUTING_TARGET_TABLE_PRIVATE_H_
#define SRC_LIBS_ROUTING_TARGET_TABLE_PRIVATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libs/base/digest.h"
#include "libs/routing/mean_tokens.h"
#include "libs/routing/prefix_record.h"
#include "libs/routing/target_group.h"
#include "libs/routing/target_table.h"
#include "libs/routing/team_shares.h"

namespace turmericwinch {

// A request to route, with the targets it must not use.
struct RoutingQuery {
  const RoutingRequest& request;
  const std::set<std::string>& excluded;
  TargetTable::TimePoint now;

  // Tokens that the request is expected to hold at a target.
  double HeldTokens() const {
    return TargetMemory::ExpectedTokens(request.prompt_tokens,
                                        request.max_output_tokens);
  }
  // Whether the request may reach the target, whatever its state.
  bool Allows(const ListedMember& target) const {
    return !excluded.contains(target.name) && IsInAllowedDomain(target);
  }
  bool IsInAllowedDomain(const ListedMember& target) const {
    return !request.domains || request.domains->contains(target.failure_domain);
  }
};

// The best target found so far, its cost and the prompt tokens that it has not
// cached.
struct Candidate {
  Target* target = nullptr;
  double cost = 0;
  double uncached_tokens = 0;
};

class TargetTable::Private {
 public:
  Private(std::string failure_domain, const std::string& host)
      : failure_domain(std::move(failure_domain)),
        host(host),
        host_hash(Hash64(host)),
        random(host_hash) {}

  // Services with at least one target that has answered a request.
  std::set<std::string> ServicesWithAnswers() const;
  // Rebuilds the groups, from `hosts` and the state of the targets.
  void IndexGroups();
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
  // Why no target that FindLastResort() looked at may get the request.
  Reason ReasonOfNoTarget(const RoutingQuery& query) const;
  // Sets the share of a target that names its first limit.
  void SetShareOfNewLimit(Target& target,
                          std::optional<double> limit,
                          TimePoint now) const;
  TargetChoice StartAttempt(const RoutingQuery& query,
                            Target& target,
                            double uncached_tokens);
  // Sum of the concurrency limits of the nearest tier that may get requests.
  double ServiceLimit(const std::string& service, TimePoint now) const;
  ShareStatus ShareStatusOf(const RoutingRequest& request, TimePoint now) const;
  // Whether the request's team has its share in flight and only the part of the
  // limits that is reserved for other teams is free.
  bool MustWait(const RoutingRequest& request, TimePoint now) const;

  // Takes over what the registration `member` says of its target being cold;
  // `target` still has the registration before it.
  void UpdateCold(Target& target,
                  const ListedMember& member,
                  const TargetClassConfig& settings,
                  TimePoint now);
  // Takes the target for cold, whatever its registration says.
  void PresumeCold(Target& target, ColdCause cause, TimePoint now);
  // Tells the handler of a target that was not cold before.
  void ReportCold(const Target& target, ColdCause cause, TimePoint now) const;
  // Sets this host's share of the requests that the target takes while cold.
  void UpdateColdShare(Target& target) const;
  // Sets the shares of all targets that may still be cold.
  void UpdateColdShares();

  std::string failure_domain;
  std::string host;
  std::uint64_t host_hash;
  // Number of hosts that share the targets.
  double hosts = 1;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  std::map<std::string, Target> targets;
  // Groups of a service, by tier.
  std::map<std::string, std::map<int, TargetGroup>> groups;
  std::map<std::string, TeamShares> teams;
  PrefixRecord prefixes;
  // Moving averages of the prompt tokens of requests, by service.
  std::map<std::string, double> mean_prompt_tokens;
  // Mean tokens that a request holds, by service.
  std::map<std::string, MeanTokens> mean_held_tokens;
  // Failure domains whose targets get no requests.
  std::set<std::string> evacuated_domains;
  // Names of all hosts of the fleet.
  std::vector<std::string> fleet;
  std::function<void(const ColdNotice&)> on_cold;
  // Time of the last Update(), and whether any has listed targets.
  TimePoint updated_at{};
  bool has_listed = false;
  double cold_overshoot = 1;
  double cold_tolerance = 0;
  // Share of a rate limit that this host may use until SetRateShare().
  double first_rate_share = 1;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_TABLE_PRIVATE_H_
