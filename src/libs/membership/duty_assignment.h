// Assigns duties to hosts by weighted rendezvous hashing.

#ifndef SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_
#define SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libs/membership/member.h"

namespace turmericwinch {

// Names of the `n` usable hosts with the highest score for `duty`, best first.
// The expected number of duties of a host is proportional to its weight, and a
// host that joins or ends changes the holders of its own duties only. The
// result is a hint: hosts whose membership tables differ may both consider
// themselves holders, so a duty that must not have two holders at once also
// needs a lease with a fencing number.
std::vector<std::string> SelectDutyHolders(std::string_view duty,
                                           const std::vector<Member>& members,
                                           std::size_t n);

}  // namespace turmericwinch

#endif  // SRC_LIBS_MEMBERSHIP_DUTY_ASSIGNMENT_H_
