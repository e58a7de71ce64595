#include "libs/base/soft_assert.h"

#include <atomic>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"base"};

std::atomic<std::uint64_t> g_count{0};

}  // namespace

void ReportSoftAssert(const char* condition, const char* file, int line) {
  ++g_count;
  LogEvent(kLog, Severity::kError, "soft_assert",
           {{"condition", condition}, {"file", file}, {"line", line}});
}

std::uint64_t SoftAssertCount() {
  return g_count;
}

}  // namespace turmericwinch
