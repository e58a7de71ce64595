#include "support/memory_platform.h"

namespace turmericwinch {

bool MemoryPlatform::Reachable(Reason* reason) {
  if (down)
    Fail(reason, ResultCode::kPlatformUnavailable, "the platform is down");
  return !down;
}

void MemoryPlatform::StartWrite() {
  ++writes;
  if (!before_write)
    return;
  std::function<void()> action = std::move(before_write);
  before_write = nullptr;
  action();
}

std::optional<StoreVersion> MemoryPlatform::AnswerWrite(
    std::optional<std::uint64_t> revision,
    ResultCode refusal,
    Reason* reason) {
  if (lose_answers > 0) {
    --lose_answers;
    return Fail(reason, ResultCode::kPlatformUnknown, "the answer was lost");
  }
  if (!revision)
    return Fail(reason, refusal, "refused");
  return StoreVersion{0, *revision};
}

PlatformClient::Answer<PlatformObject> MemoryPlatform::Get(PlatformDuty,
                                                           std::string name,
                                                           Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  const StoredObject* object = store.Find(name);
  if (!object)
    co_return Fail(reason, ResultCode::kPlatformNotFound, "no such object");
  co_return PlatformObject{object->name, {0, object->version}, object->value};
}

PlatformClient::Answer<StoreVersion> MemoryPlatform::Create(PlatformDuty,
                                                            std::string name,
                                                            std::string value,
                                                            Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return AnswerWrite(store.Create(name, std::move(value)),
                        ResultCode::kPlatformExists, reason);
}

PlatformClient::Answer<StoreVersion>
MemoryPlatform::Update(PlatformDuty, PlatformObject object, Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return AnswerWrite(store.Update(object.name, object.version.revision,
                                     std::move(object.value)),
                        ResultCode::kPlatformConflict, reason);
}

PlatformClient::Answer<StoreVersion> MemoryPlatform::Delete(
    PlatformDuty,
    std::string name,
    StoreVersion version,
    Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  std::optional<std::uint64_t> deleted;
  if (store.Delete(name, version.revision))
    deleted = version.revision;
  co_return AnswerWrite(deleted, ResultCode::kPlatformConflict, reason);
}

PlatformClient::Answer<std::vector<PlatformObject>>
MemoryPlatform::List(PlatformDuty, std::string prefix, Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  std::vector<PlatformObject> objects;
  for (const StoredObject& it : store.List(prefix))
    objects.push_back({it.name, {0, it.version}, it.value});
  co_return objects;
}

PlatformClient::Answer<PlatformObject> MemoryPlatform::Watch(
    PlatformDuty,
    std::string name,
    StoreVersion after,
    std::chrono::milliseconds,
    Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  const StoredObject* object = store.Find(name);
  if (!object || object->version <= after.revision)
    co_return Fail(reason, ResultCode::kPlatformNotFound, "nothing newer");
  co_return PlatformObject{object->name, {0, object->version}, object->value};
}

PlatformClient::Answer<std::string> MemoryPlatform::Hosts(Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return hosts;
}

}  // namespace turmericwinch
