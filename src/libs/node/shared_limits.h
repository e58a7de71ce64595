// Limits of teams, shared by the traffic threads.

#ifndef SRC_LIBS_NODE_SHARED_LIMITS_H_
#define SRC_LIBS_NODE_SHARED_LIMITS_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libs/routing/team_limiter.h"

namespace turmericwinch {

class SharedLimits;

// An admitted request's slot under the in-flight limits; the destructor frees
// it.
class InFlightSlot {
 public:
  InFlightSlot(SharedLimits& limits, std::vector<std::string> names);
  InFlightSlot(InFlightSlot&& other) noexcept;
  InFlightSlot& operator=(InFlightSlot&&) = delete;
  ~InFlightSlot();

 private:
  SharedLimits* limits_;
  std::vector<std::string> names_;
};

// Thread-safe wrapper of TeamLimiter.
class SharedLimits {
 public:
  void SetLiveHosts(int hosts);
  // Fails with kLimitExceeded.
  std::optional<InFlightSlot> Admit(
      const std::vector<const LimitConfig*>& limits,
      std::int64_t tokens,
      Reason* reason);

 private:
  friend class InFlightSlot;
  void Release(const std::vector<std::string>& names);

  std::mutex mutex_;
  TeamLimiter limiter_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_LIMITS_H_
