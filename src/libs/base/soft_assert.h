// Soft assertions: a broken expectation is logged and the function returns.

#ifndef SRC_LIBS_BASE_SOFT_ASSERT_H_
#define SRC_LIBS_BASE_SOFT_ASSERT_H_

#include <cstdint>

namespace turmericwinch {

// Logs a failed soft assertion and counts it. Safe from any thread.
void ReportSoftAssert(const char* condition, const char* file, int line);

// Failed soft assertions since the process started; a metric of every daemon.
std::uint64_t SoftAssertCount();

}  // namespace turmericwinch

// Runs `action`, usually a return, if `condition` does not hold.
#define TW_SOFT_ASSERT(condition, action)                                \
  do {                                                                   \
    if (!(condition)) {                                                  \
      ::turmericwinch::ReportSoftAssert(#condition, __FILE__, __LINE__); \
      action;                                                            \
    }                                                                    \
  } while (false)

#endif  // SRC_LIBS_BASE_SOFT_ASSERT_H_
