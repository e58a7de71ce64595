// State of a membership table; internal to the library.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_PRIVATE_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_PRIVATE_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/membership/membership.h"

namespace turmericwinch {

namespace membership_internal {

using Time = Membership::Time;

// One other host, the time of the last change of its report, and how many
// more times that change is to be sent.
struct MemberEntry {
  Member member;
  Time state_since{0};
  int sends_left = 0;
};

// A probe of this host that has not been answered yet.
struct OpenProbe {
  std::string target;
  std::uint64_t sequence = 0;
  Time started{0};
  bool indirect_probes_sent = false;
};

// A probe that this host sent on behalf of another host.
struct RelayedProbe {
  std::string target;
  std::string origin_address;
  std::uint64_t origin_sequence = 0;
  Time started{0};
};

}  // namespace membership_internal

// membership.cc implements the state of members, membership_probes.cc the
// probes and other messages.
class Membership::Private {
 public:
  using Kind = MembershipMessageKind;
  using Time = membership_internal::Time;

  Private(Member self, std::uint64_t seed)
      : self(std::move(self)), random(seed) {}

  // Merges `report` into the table. If the host was not known before, the
  // report is passed on to other hosts only if `gossip_if_new`.
  void ApplyReport(const Member& report, Time now, bool gossip_if_new = true);
  // Raises this host's refutation or incarnation if `report` about this host is
  // wrong.
  void Refute(const Member& report);
  void RecordContact(const Member& sender, Time now);
  // Updates the revision and the sets below after `entry` has changed, and
  // schedules the change for sending if `gossip`.
  void RecordChange(const std::string& name,
                    membership_internal::MemberEntry& entry,
                    Time now,
                    bool gossip);
  void RemoveEntry(const std::string& name);
  void ExpireSuspicions(Time now);
  void DetectPause(Time now);
  void CheckOpenProbes(Time now, Messages* out);
  void StartProbes(Time now, Messages* out);
  void ProbeNext(std::vector<std::string>* queue,
                 bool own_domain,
                 Time now,
                 Messages* out);
  void SendAnswer(const MembershipMessage& message, Kind kind, Messages* out);
  void RelayProbe(const MembershipMessage& message, Time now, Messages* out);
  void HandleProbeAnswer(const MembershipMessage& message, Messages* out);
  void ContactSeeds(Time now, Messages* out);
  void StartTableExchange(Time now, Messages* out);
  bool IsGateway() const;
  std::vector<Member> KnownMembers(bool own_domain_only) const;
  int Log2Members() const;
  MembershipMessage MakeMessage(Kind kind, std::uint64_t sequence);
  std::vector<Member> TakeChanges();
  std::vector<Member> WholeTable() const;
  std::string NextProbeTarget(std::vector<std::string>* queue, bool own_domain);

  Member self;
  std::mt19937_64 random;
  std::map<std::string, membership_internal::MemberEntry> entries;
  // Names of the entries with changes still to be sent, and of the entries that
  // are not alive. Both sets are small and spare scans of all entries.
  std::set<std::string> unsent;
  std::set<std::string> not_alive;
  std::uint64_t revision = 0;
  std::set<std::string> seeds;
  std::set<std::string> listed;
  std::set<std::string> delisted;
  std::vector<membership_internal::OpenProbe> probes;
  std::map<std::uint64_t, membership_internal::RelayedProbe> relays;
  std::vector<std::string> own_domain_queue;
  std::vector<std::string> other_domains_queue;
  std::uint64_t next_sequence = 1;
  Time last_tick{-1};
  Time next_probe{0};
  Time next_seed_contact{0};
  Time next_table_exchange{0};
  MembershipCounters counters;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_PRIVATE_H_
