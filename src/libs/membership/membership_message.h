// Messages between the membership tables of hosts.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/membership/member.h"

namespace turmericwinch {

// kProbe requests a kProbeAnswer; kProbeRequest asks the receiver to probe
// `target` on behalf of the sender; kTable carries a whole table and requests a
// kTableAnswer.
enum class MembershipMessageKind {
  kProbe,
  kProbeAnswer,
  kProbeRequest,
  kTable,
  kTableAnswer
};

// `sequence` matches an answer to its probe. `target` is the name of the host
// to be probed or, in a relayed answer, of the host that answered. `changes`
// are reports about any hosts.
struct MembershipMessage {
  MembershipMessageKind kind = MembershipMessageKind::kProbe;
  std::uint64_t sequence = 0;
  Member sender;
  std::string target;
  std::vector<Member> changes;
};

// A message for the host at `address`.
struct OutgoingMessage {
  std::string address;
  MembershipMessage message;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
