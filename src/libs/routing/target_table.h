// The targets that this host knows, and the choice among them.

#ifndef SRC_LIBS_ROUTING_TARGET_TABLE_H_
#define SRC_LIBS_ROUTING_TARGET_TABLE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/config/config_snapshot.h"
#include "libs/routing/concurrency_limit.h"
#include "libs/routing/host_list.h"
#include "libs/routing/target_health.h"
#include "libs/routing/target_load.h"

namespace turmericwinch {

// What the choice has to know of a request. `prefix` is a hash of the part of
// the prompt that other requests share, `prefix_tokens` long; 0 if there is
// none. A `limited` request finds no room while its team has its share in
// flight and the targets have reached their learnt limits; one without a team
// is never limited.
struct RoutingRequest {
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::uint64_t prefix = 0;
  std::int64_t prefix_tokens = 0;
  std::string team;
  int share = 1;
  bool limited = false;
};

// A target chosen for one attempt, and what the table counted for it.
struct TargetChoice {
  std::string name;
  std::string address;
  std::string incarnation;
  std::uint64_t id = 0;
  double prompt = 0;
  double ahead = 0;
  bool had_first_token = false;
  std::chrono::steady_clock::time_point sent = {};
  std::string service;
  std::string team;
  ShareStatus sample = ShareStatus::kOnlyTeam;
  // Own requests at the target, this one included.
  std::int64_t in_flight = 0;
};

// One row for dumps.
struct TargetStats {
  std::string name;
  std::string failure_domain;
  std::string service;
  std::string address;
  std::int64_t in_flight = 0;
  bool leaving = false;
  TargetState state = TargetState::kServing;
  int ejections = 0;
  double limit = 0;
  double wait_seconds = 0;
  double seconds_per_token = 0;
  double seconds_per_prompt_token = 0;
};

// Chooses by expected time, targets of the own failure domain first. Compares
// a sample of the followed targets, those that were sent the request's prefix
// and the prefix's homes on a ring. Not safe for use by several threads.
class TargetTable {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `host` decides which targets are followed and seeds the sampling.
  TargetTable(std::string failure_domain, const std::string& host);
  ~TargetTable();

  // Takes over the list under the classes of `config`. Targets that left the
  // list or have a new incarnation are new ones when they come back. Ejects
  // targets that are slow against the others.
  void Update(const HostList& list,
              const ConfigSnapshot& config,
              TimePoint now);

  // A target that is not in `excluded`, by name; counts the attempt as in
  // flight until End(). Reasons: kOverloaded, kNoTarget.
  std::optional<TargetChoice> BeginAttempt(
      const RoutingRequest& wish,
      const std::set<std::string>& excluded,
      TimePoint now,
      Reason* reason);
  // Whether the wish's team has its share in flight while others are active.
  bool IsOverShare(const RoutingRequest& wish, TimePoint now) const;
  // The first token of the attempt came `elapsed` after it was sent.
  void RecordFirstToken(TargetChoice& choice,
                        std::chrono::duration<double> elapsed,
                        TimePoint now);
  // Ends an attempt. `token_time` is the measured time between tokens; 0 if
  // there were too few.
  void EndAttempt(const TargetChoice& choice,
                  AttemptOutcome answer,
                  std::chrono::duration<double> token_time,
                  TimePoint now);
  // Takes over a target's own report.
  void RecordLoadReport(const std::string& name, const LoadReport& report);

  std::vector<TargetStats> Stats(TimePoint now) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_TARGET_TABLE_H_
