// Log line of a target that is taken for cold.

#ifndef SRC_LIBS_GATEWAY_COLD_TARGET_LOG_H_
#define SRC_LIBS_GATEWAY_COLD_TARGET_LOG_H_

#include "libs/routing/target_table.h"

namespace turmericwinch {

void LogColdTarget(const ColdNotice& notice);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_COLD_TARGET_LOG_H_
