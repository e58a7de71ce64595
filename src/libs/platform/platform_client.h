// Interface to the platform's object API. Another API dialect is a further
// implementation of this interface.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/base/store_version.h"
#include "libs/platform/platform_object.h"

namespace turmericwinch {

class CallCounter;

// Purpose of a call. Each duty has its own counters and its own queue.
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

// The platform's list of hosts and targets, or its changes. `version` is not
// set if the list has no version; then the list is always complete.
struct PlatformHosts {
  StoreVersion version;
  bool is_whole = true;
  // JSON text: the list, or an object whose "changes" array has rows with a
  // "kind". Removed entries have the "state" "gone".
  std::string text;
};

// Names of the objects of a kind that exist, or the names that appeared or
// changed and those that were removed since an earlier version.
struct PlatformNames {
  StoreVersion version;
  bool is_whole = true;
  std::vector<std::string> present;
  std::vector<std::string> removed;
};

// Whether a write failed because another writer has changed or created the
// object, so that it must be read again.
bool IsWriteConflict(ResultCode code);

// Calls return nullopt on failure. Reasons: kPlatformUnavailable (nothing was
// written), kPlatformLimited (nothing was written; this host's share of calls
// is used up), kPlatformUnknown (a write may have taken effect),
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
  // Creates an object that must not exist; returns its version.
  virtual Answer<StoreVersion> Create(PlatformDuty duty,
                                      std::string name,
                                      std::string value,
                                      Reason* reason) = 0;
  // Replaces an object if it still has `version`; returns the new version.
  virtual Answer<StoreVersion> Update(PlatformDuty duty,
                                      PlatformObject object,
                                      Reason* reason) = 0;
  // Deletes an object if it still has `version`; returns that version.
  virtual Answer<StoreVersion> Delete(PlatformDuty duty,
                                      std::string name,
                                      StoreVersion version,
                                      Reason* reason) = 0;
  // Returns all objects whose name starts with `prefix`, sorted by name.
  virtual Answer<std::vector<PlatformObject>> List(PlatformDuty duty,
                                                   std::string prefix,
                                                   Reason* reason) = 0;
  // Waits at most `wait` until the object has a version above `after`. Fails
  // with kPlatformNotFound if it did not change in this time.
  virtual Answer<PlatformObject> Watch(PlatformDuty duty,
                                       std::string name,
                                       StoreVersion after,
                                       std::chrono::milliseconds wait,
                                       Reason* reason) = 0;
  // Waits at most `wait` until an object of the kind `kind` is created, changed
  // or removed after version `after`, and returns the names that changed.
  // Returns all names without waiting if `after` is not set, or if the platform
  // no longer keeps that version. The names are without the kind. Without an
  // implementation of its own, a client lists the objects without waiting; the
  // version is then at least `after` and doesn't rise with removals.
  virtual Answer<PlatformNames> NamesSince(PlatformDuty duty,
                                           std::string kind,
                                           StoreVersion after,
                                           std::chrono::milliseconds wait,
                                           Reason* reason);
  // Era of the store according to its last response; see StoreVersion. It is
  // part of all versions above. Writes with a version of an earlier era fail
  // with kPlatformConflict.
  virtual std::uint64_t Era() const { return 0; }
  // Sets the number of hosts that call the platform while it does not answer.
  // The pauses between the calls of each grow with it.
  virtual void SetProbingHosts(std::size_t) {}
  // The calls made so far; null if the client does not count them.
  virtual const CallCounter* call_counter() const { return nullptr; }
  // Returns the platform's list of hosts and targets as JSON text.
  virtual Answer<std::string> Hosts(Reason* reason) = 0;
  // Waits at most `wait` for changes of the list since version `after` and
  // returns them; the text is empty if there were none. Returns the complete
  // list without waiting if `after` is not set, if the platform no longer keeps
  // that version, or if its list has no versions.
  virtual Answer<PlatformHosts> HostsSince(StoreVersion after,
                                           std::chrono::milliseconds wait,
                                           Reason* reason);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_CLIENT_H_
