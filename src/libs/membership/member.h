// One host of the fleet as seen by another host.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBER_H_
#define SRC_LIBS_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// The order matters: of two reports with equal incarnation and refutation, the
// state further down the list wins. kUnreachable stands for a paused, slow,
// disconnected or failed host, which look alike to other hosts. kDead requires
// proof: the platform removed the host from its list while it was unreachable.
// A higher incarnation replaces any state of a lower one.
enum class MemberState { kAlive, kSuspected, kUnreachable, kDead, kLeft };

// "alive", "suspected", "unreachable", "dead" or "left".
std::string_view NameOf(MemberState state);
std::optional<MemberState> ToMemberState(int number);

// `incarnation` identifies one process of a host and increases with each new
// process; `refutation` increases when the process refutes a report about
// itself. `address` is IP:PORT. `weight` is the host's share of duties relative
// to other hosts. `generation` is that of the configuration in force at the
// host; this library only passes it on.
struct Member {
  std::string name;
  std::string failure_domain;
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t refutation = 0;
  MemberState state = MemberState::kAlive;
  int weight = 1;
  std::uint64_t generation = 0;
};

// Whether report `left` replaces report `right` about the same host.
bool Supersedes(const Member& left, const Member& right);

// Whether the member may receive new work and duties.
bool IsUsable(const Member& member);

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBER_H_
