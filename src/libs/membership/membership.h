// Who is in the fleet, as far as this host can tell.

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

// One host of the platform's list.
struct ListedHost {
  std::string name;
  std::string failure_domain;
  std::string address;
  bool leaving = false;
};

// Counts since the start.
struct MembershipCounters {
  std::uint64_t probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

// The decisions of membership: each host probes one random host of its failure
// domain a period, asks others to probe where no answer comes, suspects, and
// declares unreachable what does not contradict in time. A few hosts of each
// domain also probe the others. Reports travel with the probes.
//
// Its answers are hints. A partition and a death look alike from outside, so
// nothing that costs a promise may rest on them: grants decide spending, claims
// decide single execution, and leases with fencing numbers decide duties.
//
// Free of sockets, threads and clocks: `now` is the time since any fixed point.
// The caller sends the messages that each call returns.
class Membership {
 public:
  using Time = std::chrono::milliseconds;
  using Messages = std::vector<OutgoingMessage>;

  // `self` with its name, domain, address, incarnation and weight.
  Membership(Member self, std::uint64_t seed);
  ~Membership();

  // Addresses known from settings, tried until a host answers there.
  void SetSeeds(std::vector<std::string> addresses);
  // The platform's list. A host that it names is tried; a host that it named
  // before and no longer names is dead once it is unreachable as well.
  void SetListedHosts(const std::vector<ListedHost>& hosts);
  void SetConfigGeneration(std::uint64_t generation);

  // To be called several times a probe period.
  Messages Tick(Time now);
  Messages HandleMessage(const MembershipMessage& message, Time now);
  // Tells others that this host leaves.
  Messages Leave(Time now);

  const Member& self() const;
  // All known hosts, this one included, by name.
  std::vector<Member> Members() const;
  // A host by its name.
  std::optional<Member> Find(const std::string& name) const;
  // Those of this host's domain.
  std::vector<Member> DomainMembers() const;
  // Grows when another host appears, changes or is forgotten; its generation
  // does not count.
  std::uint64_t revision() const;
  const MembershipCounters& counters() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_H_
