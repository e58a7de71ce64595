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

// What is known of one other host, and how often it is still to be told.
struct Entry {
  Member member;
  Time since{0};
  int sends_left = 0;
};

// A probe by this host that is not answered yet.
struct OpenProbe {
  std::string target;
  std::uint64_t sequence = 0;
  Time started{0};
  bool asked_others = false;
};

// A probe by this host for another one.
struct RelayedProbe {
  std::string target;
  std::string origin_address;
  std::uint64_t origin_sequence = 0;
  Time started{0};
};

}  // namespace membership_internal

// The rules of the table are in membership.cc, the probes and messages in
// membership_probes.cc.
class Membership::Private {
 public:
  using Kind = MembershipMessageKind;
  using Time = membership_internal::Time;

  Private(Member self, std::uint64_t seed)
      : self(std::move(self)), random(seed) {}

  // A host that is new here is told on only if `is_news`.
  void Apply(const Member& report, Time now, bool is_news = true);
  void Contradict(const Member& report);
  void HeardFrom(const Member& sender, Time now);
  // Puts what changed of an entry on record.
  void NoteChange(const std::string& name,
                  membership_internal::Entry& entry,
                  Time now,
                  bool is_news);
  void Forget(const std::string& name);
  void ExpireSuspicions(Time now);
  void NotePause(Time now);
  void FollowProbes(Time now, Messages* out);
  void StartProbes(Time now, Messages* out);
  void ProbeOneOf(std::vector<std::string>* queue,
                  bool own_domain,
                  Time now,
                  Messages* out);
  void Answer(const MembershipMessage& message, Kind kind, Messages* out);
  void Relay(const MembershipMessage& message, Time now, Messages* out);
  void TakeAnswer(const MembershipMessage& message, Messages* out);
  void TrySeeds(Time now, Messages* out);
  void ExchangeTable(Time now, Messages* out);
  bool IsGateway() const;
  std::vector<Member> Known(bool own_domain_only) const;
  int Log2Members() const;
  MembershipMessage Make(Kind kind, std::uint64_t sequence);
  std::vector<Member> TakeChanges();
  std::vector<Member> Table() const;
  std::string NextOf(std::vector<std::string>* queue, bool own_domain);

  Member self;
  std::mt19937_64 random;
  std::map<std::string, membership_internal::Entry> entries;
  // Names of the entries that are still to be told, and of those that are not
  // alive: few of many.
  std::set<std::string> fresh;
  std::set<std::string> troubled;
  std::uint64_t revision = 0;
  std::set<std::string> seeds;
  std::set<std::string> listed;
  std::set<std::string> delisted;
  std::vector<membership_internal::OpenProbe> probes;
  std::map<std::uint64_t, membership_internal::RelayedProbe> relays;
  std::vector<std::string> near_queue;
  std::vector<std::string> far_queue;
  std::uint64_t next_sequence = 1;
  Time last_tick{-1};
  Time next_probe{0};
  Time next_seed{0};
  Time next_table{0};
  MembershipCounters counters;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_PRIVATE_H_
