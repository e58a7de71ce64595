// One host of the fleet as other hosts know it.

#ifndef SRC_LIBS_MEMBERSHIP_MEMBER_H_
#define SRC_LIBS_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Order matters: of two reports on one incarnation and refutation, the later
// state wins. kUnreachable covers a paused, late, cut off or failed host, which
// cannot be told apart from outside. kDead needs proof: the platform took the
// host off its list while it was unreachable. A higher incarnation replaces any
// state of a lower one.
enum class MemberState { kAlive, kSuspected, kUnreachable, kDead, kLeft };

// "alive", "suspected", "unreachable", "dead" or "left".
std::string_view NameOf(MemberState state);
std::optional<MemberState> ToMemberState(int number);

// `incarnation` tells processes of one host apart and grows; `refutation` grows
// when the process contradicts a report about itself. `address` is IP:PORT.
// `weight` is the host's size for duties. `generation` is of the configuration
// in force there; it is carried along and decides nothing here.
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

// Whether report `left` replaces report `right` on the same host.
bool Supersedes(const Member& left, const Member& right);

// Whether new work and duties may go to the member.
bool IsUsable(const Member& member);

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_MEMBER_H_
