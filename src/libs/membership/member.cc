#include "libs/membership/member.h"

#include <iterator>
#include <tuple>

namespace turmericwinch {

namespace {

constexpr std::string_view kStateNames[] = {"alive", "suspected", "unreachable",
                                            "dead", "left"};

}  // namespace

std::string_view NameOf(MemberState state) {
  return kStateNames[static_cast<int>(state)];
}

std::optional<MemberState> ToMemberState(int number) {
  if (number < 0 || number >= static_cast<int>(std::size(kStateNames)))
    return std::nullopt;
  return static_cast<MemberState>(number);
}

bool Supersedes(const Member& left, const Member& right) {
  return std::tie(left.incarnation, left.refutation, left.state) >
         std::tie(right.incarnation, right.refutation, right.state);
}

bool IsUsable(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspected;
}

}  // namespace turmericwinch
