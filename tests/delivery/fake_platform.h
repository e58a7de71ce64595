// In-memory store of the platform's objects with scripted faults.

#ifndef TESTS_DELIVERY_FAKE_PLATFORM_H_
#define TESTS_DELIVERY_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/reason.h"
#include "libs/base/store_version.h"

namespace turmericwinch {

enum class PlatformFault {
  kNone,
  // The call has no effect, and the caller knows that.
  kDown,
  // The call has no effect, and the caller gets an unknown result.
  kLostCall,
  // The call takes effect, and the caller gets an unknown result.
  kLostAnswer,
  // Like kLostAnswer, but the call takes effect in DeliverLate().
  kLateEffect,
};

class FakePlatform {
 public:
  struct Object {
    StoreVersion version;
    std::string value;
  };

  // Faults of the next calls, in order. Later calls have none.
  std::deque<PlatformFault> faults;
  std::map<std::string, Object> objects;
  int writes = 0;

  std::optional<StoreVersion> Create(const std::string& name,
                                     const std::string& value,
                                     Reason* reason) {
    return Write(
        [this, name, value]() -> std::optional<StoreVersion> {
          if (objects.contains(name))
            return std::nullopt;
          objects[name] = {{0, ++last_revision_}, value};
          return objects[name].version;
        },
        ResultCode::kPlatformExists, reason);
  }

  std::optional<StoreVersion> Update(const std::string& name,
                                     StoreVersion version,
                                     const std::string& value,
                                     Reason* reason) {
    return Write(
        [this, name, version, value]() -> std::optional<StoreVersion> {
          if (!objects.contains(name) || objects[name].version != version)
            return std::nullopt;
          objects[name] = {{0, ++last_revision_}, value};
          return objects[name].version;
        },
        ResultCode::kPlatformConflict, reason);
  }

  std::optional<StoreVersion> Delete(const std::string& name,
                                     StoreVersion version,
                                     Reason* reason) {
    return Write(
        [this, name, version]() -> std::optional<StoreVersion> {
          if (!objects.contains(name) || objects[name].version != version)
            return std::nullopt;
          objects.erase(name);
          return version;
        },
        ResultCode::kPlatformConflict, reason);
  }

  std::optional<Object> Get(const std::string& name, Reason* reason) {
    if (NextFault() != PlatformFault::kNone)
      return Fail(reason, ResultCode::kPlatformUnavailable, "down");
    auto it = objects.find(name);
    if (it == objects.end())
      return Fail(reason, ResultCode::kPlatformNotFound, "absent");
    return it->second;
  }

  void DeliverLate() {
    for (auto& it : late_)
      it();
    late_.clear();
  }

 private:
  using Effect = std::function<std::optional<StoreVersion>()>;

  PlatformFault NextFault() {
    if (faults.empty())
      return PlatformFault::kNone;
    const PlatformFault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  std::optional<StoreVersion> Write(const Effect& effect,
                                    ResultCode precondition_failed,
                                    Reason* reason) {
    ++writes;
    const PlatformFault fault = NextFault();
    if (fault == PlatformFault::kDown)
      return Fail(reason, ResultCode::kPlatformUnavailable, "down");
    if (fault == PlatformFault::kLateEffect)
      late_.push_back(effect);
    if (fault == PlatformFault::kLostCall ||
        fault == PlatformFault::kLateEffect)
      return Fail(reason, ResultCode::kPlatformUnknown, "lost");
    std::optional<StoreVersion> version = effect();
    if (fault == PlatformFault::kLostAnswer)
      return Fail(reason, ResultCode::kPlatformUnknown, "lost");
    if (!version)
      return Fail(reason, precondition_failed, "refused");
    return version;
  }

  std::uint64_t last_revision_ = 0;
  std::vector<Effect> late_;
};

}  // namespace turmericwinch

#endif  // TESTS_DELIVERY_FAKE_PLATFORM_H_
