// Random interleavings of faults over the decisions of the budget library.

#ifndef TESTS_BUDGET_INVARIANT_RUN_H_
#define TESTS_BUDGET_INVARIANT_RUN_H_

#include <cstdint>
#include <string>

namespace turmericwinch {

// Runs `steps` events from `seed`: hosts in two domains reserve, settle, draw,
// lend and borrow, flush, idle, die, are released and replaced, while calls,
// answers and messages are lost, repeated and late, hosts do not hear each
// other or disagree on who lends, the platform goes away and budgets are topped
// up or lowered.
// Answers what was violated, or nothing.
std::string RunInvariants(std::uint64_t seed, int steps);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_INVARIANT_RUN_H_
