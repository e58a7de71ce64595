// Messages between the membership tables of hosts.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define SRC_LIBS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/membership/member.h"

namespace turmericwinch {

// kProbe asks for a kProbeAnswer; kProbeRequest asks the receiver to probe
// `target` for the sender; kTable carries a whole table and asks for a
// kTableAnswer.
enum class MembershipMessageKind {
  kProbe,
  kProbeAnswer,
  kProbeRequest,
  kTable,
  kTableAnswer
};

// `sequence` matches an answer to a probe. `target` is the name of the host
// that is to be probed, or, in an answer passed on, of the one that answered.
// `changes` are reports on any hosts.
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
