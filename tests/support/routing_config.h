// A configuration for tests of routing.

#ifndef TESTS_SUPPORT_ROUTING_CONFIG_H_
#define TESTS_SUPPORT_ROUTING_CONFIG_H_

#include <cstdint>
#include <string>

#include "libs/config/config_snapshot.h"

namespace turmericwinch {

// One failure domain, "a", and one target class, "any", of `service`.
inline ConfigSnapshot SingleClassConfig(const std::string& service,
                                        std::int64_t tokens_per_second,
                                        std::int64_t most_in_flight) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass,
           "any",
           {{"service", service},
            {"tokens_per_second", tokens_per_second},
            {"most_in_flight", most_in_flight}},
           ""});
  return {1, "digest", set};
}

}  // namespace turmericwinch

#endif  // TESTS_SUPPORT_ROUTING_CONFIG_H_
