// Spreads duties over hosts by weighted rendezvous hashing.

#ifndef SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_
#define SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/member.h"

namespace turmericwinch {

// Names of the `n` hosts that come first for `duty` among the usable ones, best
// first. A host's share follows its weight, and a host that comes or goes moves
// only its own share. The answer is a hint: two hosts with different tables may
// both hold a duty, so a duty that two holders would harm needs a lease with a
// fencing number besides.
std::vector<std::string> SelectDutyHolders(std::string_view duty,
                                           const std::vector<Member>& members,
                                           std::size_t n);

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_
