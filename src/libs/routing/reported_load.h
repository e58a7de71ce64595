// Load that a target reports in its responses.

#ifndef SRC_LIBS_ROUTING_REPORTED_LOAD_H_
#define SRC_LIBS_ROUTING_REPORTED_LOAD_H_

#include <cstdint>
#include <optional>

namespace turmericwinch {

// Requests running and waiting at the target, its slots, and the time that work
// currently takes on its machine, in percent of the usual time.
struct ReportedLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
  std::optional<std::int64_t> speed_percent;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_REPORTED_LOAD_H_
