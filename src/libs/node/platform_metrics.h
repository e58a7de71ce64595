// Metrics of a node's calls to the platform.

#ifndef SRC_LIBS_NODE_PLATFORM_METRICS_H_
#define SRC_LIBS_NODE_PLATFORM_METRICS_H_

#include <string>

#include "libs/platform/http_platform_client.h"

namespace turmericwinch {

// Calls made by duty and kind, and those without an answer, in the text
// exposition format. Safe from any thread.
std::string CallMetricsText(const CallCounter& counter);

// Calls made, waiting and refused for each duty, and this host's share of the
// call rate, in the text exposition format. Called on the client's thread.
std::string PlatformMetricsText(const HttpPlatformClient& platform);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_PLATFORM_METRICS_H_
