// The hosts of the fleet and their states, as known to this host.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/membership/membership_message.h"

namespace turmericwinch {

// One host of the platform's host list.
struct ListedHost {
  std::string name;
  std::string failure_domain;
  std::string address;
  bool leaving = false;
};

// Counters since the start of the process.
struct MembershipCounters {
  std::uint64_t probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

// SWIM-style gossip membership. In each period, a host probes one random host
// of its failure domain. If no answer comes, it asks other hosts to probe the
// target as well, then suspects it, and declares it unreachable unless the
// target refutes the suspicion in time. A few hosts of each domain also probe
// hosts of other domains. Probes and answers carry reports about members.
//
// The member states are hints. A partition and a failed host look alike to
// others, so no guarantee may depend on these states: grants control spending,
// claims ensure single execution, and leases with fencing numbers protect
// duties.
//
// Uses no sockets, threads or clocks: `now` is the time since an arbitrary
// fixed point. The caller sends the messages that each call returns.
class Membership {
 public:
  using Time = std::chrono::milliseconds;
  using Messages = std::vector<OutgoingMessage>;

  // `self` has its name, domain, address, incarnation and weight set.
  Membership(Member self, std::uint64_t seed);
  ~Membership();

  // Sets addresses from the settings; each is contacted until a host at that
  // address is known.
  void SetSeeds(std::vector<std::string> addresses);
  // Sets the platform's host list. Unknown hosts on it are contacted. A host
  // that was on the previous list and is not on this one becomes dead once it
  // is unreachable as well.
  void SetListedHosts(const std::vector<ListedHost>& hosts);
  void SetConfigGeneration(std::uint64_t generation);

  // Must be called several times per probe period.
  Messages Tick(Time now);
  Messages HandleMessage(const MembershipMessage& message, Time now);
  // Returns messages that tell other hosts that this host is leaving.
  Messages Leave(Time now);

  const Member& self() const;
  // All known hosts, including this one, ordered by name.
  std::vector<Member> Members() const;
  // The host with this name, or nothing if it is not known.
  std::optional<Member> Find(const std::string& name) const;
  // All known hosts of this host's failure domain, this one first.
  std::vector<Member> DomainMembers() const;
  // Increases when another host is added, changed or removed. A change of its
  // configuration generation does not count.
  std::uint64_t revision() const;
  const MembershipCounters& counters() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_H_
