// A platform in memory, with faults, for tests.

#ifndef TESTS_SUPPORT_MEMORY_PLATFORM_H_
#define TESTS_SUPPORT_MEMORY_PLATFORM_H_

#include <functional>
#include <string>

#include "libs/platform/platform_client.h"
#include "libs/standin/object_store.h"

namespace turmericwinch {

// Answers at once. Writes can be lost before or after they take effect, and an
// action can run between a caller's calls, to play another writer.
class MemoryPlatform : public PlatformClient {
 public:
  ObjectStore store;
  std::string hosts = "{}";
  bool down = false;
  // Rises when the store comes back from an old copy; not part of the versions.
  std::uint64_t era = 0;
  // Writes that take effect although their answer is lost.
  int lose_answers = 0;
  // Runs once, before the next write.
  std::function<void()> before_write;
  int writes = 0;
  int reads = 0;

  Answer<PlatformObject> Get(PlatformDuty duty,
                             std::string name,
                             Reason* reason) override;
  Answer<StoreVersion> Create(PlatformDuty duty,
                              std::string name,
                              std::string value,
                              Reason* reason) override;
  Answer<StoreVersion> Update(PlatformDuty duty,
                              PlatformObject object,
                              Reason* reason) override;
  Answer<StoreVersion> Delete(PlatformDuty duty,
                              std::string name,
                              StoreVersion version,
                              Reason* reason) override;
  Answer<std::vector<PlatformObject>> List(PlatformDuty duty,
                                           std::string prefix,
                                           Reason* reason) override;
  Answer<PlatformObject> Watch(PlatformDuty duty,
                               std::string name,
                               StoreVersion after,
                               std::chrono::milliseconds wait,
                               Reason* reason) override;
  std::uint64_t Era() const override { return era; }
  Answer<std::string> Hosts(Reason* reason) override;

 private:
  // Whether a call goes through; else `reason` is set.
  bool Reachable(Reason* reason);
  void StartWrite();
  // `revision` is that of the written object; nullopt if it was refused.
  std::optional<StoreVersion> AnswerWrite(std::optional<std::uint64_t> revision,
                                          ResultCode refusal,
                                          Reason* reason);
};

// Runs a coroutine to its end on an io_context of its own.
template <typename T>
T RunToEnd(boost::asio::awaitable<T> action);

}  // namespace turmericwinch

#include "support/memory_platform_inl.h"

#endif  // TESTS_SUPPORT_MEMORY_PLATFORM_H_
