// Soft assertions: a violated condition is logged and the program continues.

#ifndef SRC_LIBS_BASE_SOFT_ASSERT_H_
#define SRC_LIBS_BASE_SOFT_ASSERT_H_

#include <cstdint>

namespace turmericwinch {

// Logs a failed soft assertion and counts it. Safe from any thread.
void ReportSoftAssert(const char* condition, const char* file, int line);

// Number of soft assertions failed since the process started. Every daemon
// exports it as a metric.
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
