// Random interleavings of faults over the decisions of the budget library.

#ifndef TESTS_BUDGET_INVARIANT_RUN_H_
#define TESTS_BUDGET_INVARIANT_RUN_H_

#include <cstdint>
#include <string>

namespace turmericwinch {

// Runs `steps` events from `seed`: hosts in three domains reserve, settle,
// draw, flush, idle, die, are released and replaced, while calls and answers
// are lost, the platform goes away and budgets are topped up or lowered.
// Answers what was violated, or nothing.
std::string RunInvariants(std::uint64_t seed, int steps);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_INVARIANT_RUN_H_
