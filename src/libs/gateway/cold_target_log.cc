#include "libs/gateway/cold_target_log.h"

#include <string>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"targets"};

}  // namespace

void LogColdTarget(const ColdNotice& notice) {
  LogEvent(kLog, Severity::kInfo, "target_cold",
           {{"target", notice.target},
            {"incarnation", notice.incarnation},
            {"cause", NameOf(notice.cause)},
            {"ms", static_cast<std::int64_t>(notice.time.count())},
            {"share", notice.share ? std::to_string(*notice.share) : "none"}});
}

}  // namespace turmericwinch
