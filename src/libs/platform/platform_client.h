// The platform's object API as the rest of the program sees it. Another shape
// of API is one more implementation of this interface.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/platform/platform_object.h"

namespace turmericwinch {

// What a call is for; each duty is counted and limited for itself.
enum class PlatformDuty {
  kConfig,
  kBudget,
  kBills,
  kClaims,
  kHosts,
  kOperator,
  kCaches
};
inline constexpr int kPlatformDuties = 7;

// What the platform says of its hosts and targets. `version` is 0 if its list
// has none; then it is always whole.
struct PlatformHosts {
  std::uint64_t version = 0;
  bool is_whole = true;
  // The list, or an object whose "changes" are rows with a "kind", of which
  // those that are gone have the "state" gone.
  std::string text;
};

// Calls answer nothing on failure. Reasons: kPlatformUnavailable (nothing was
// written), kPlatformLimited (the same; this host's share of calls is
// used up), kPlatformUnknown (a write may have taken effect),
// kPlatformConflict, kPlatformNotFound, kPlatformExists, kPlatformRejected.
// Used from one thread.
class PlatformClient {
 public:
  template <typename T>
  using Answer = boost::asio::awaitable<std::optional<T>>;

  virtual ~PlatformClient() = default;

  // Reads one object.
  virtual Answer<PlatformObject> Get(PlatformDuty duty,
                                     std::string name,
                                     Reason* reason) = 0;
  // Creates an object that must not exist; answers its version.
  virtual Answer<std::uint64_t> Create(PlatformDuty duty,
                                       std::string name,
                                       std::string value,
                                       Reason* reason) = 0;
  // Replaces an object if it still has `version`; answers the new version.
  virtual Answer<std::uint64_t> Update(PlatformDuty duty,
                                       PlatformObject object,
                                       Reason* reason) = 0;
  // Deletes an object if it still has `version`; answers that version.
  virtual Answer<std::uint64_t> Delete(PlatformDuty duty,
                                       std::string name,
                                       std::uint64_t version,
                                       Reason* reason) = 0;
  // All objects whose name starts with `prefix`, by name.
  virtual Answer<std::vector<PlatformObject>> List(PlatformDuty duty,
                                                   std::string prefix,
                                                   Reason* reason) = 0;
  // Waits until the object has a version above `after`, at most `wait`. A
  // wait that ends without a change fails with kPlatformNotFound.
  virtual Answer<PlatformObject> Watch(PlatformDuty duty,
                                       std::string name,
                                       std::uint64_t after,
                                       std::chrono::milliseconds wait,
                                       Reason* reason) = 0;
  // The platform's list of hosts and targets, as JSON text.
  virtual Answer<std::string> Hosts(Reason* reason) = 0;
  // The list's changes since version `after`, waiting for one at most `wait`;
  // the whole list at once for 0, for a version that the platform no longer
  // knows, and from a platform without versions. A wait that ends without a
  // change gives an empty text.
  virtual Answer<PlatformHosts> HostsSince(std::uint64_t after,
                                           std::chrono::milliseconds wait,
                                           Reason* reason);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_
