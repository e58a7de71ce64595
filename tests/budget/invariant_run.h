// Runs random interleavings of events and faults on the budget library.

#ifndef TESTS_BUDGET_INVARIANT_RUN_H_
#define TESTS_BUDGET_INVARIANT_RUN_H_

#include <cstdint>
#include <string>

namespace turmericwinch {

// Runs `steps` random events from `seed`. Hosts in two domains reserve, settle,
// draw, lend, borrow, flush, idle, crash, are released and replaced. Meanwhile
// calls, answers and messages are lost, repeated or late, connections between
// hosts break, hosts disagree on who lends, the platform is unavailable, and
// budgets are topped up or lowered. Returns a description of the first violated
// invariant, or an empty string.
std::string RunInvariants(std::uint64_t seed, int steps);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_INVARIANT_RUN_H_
