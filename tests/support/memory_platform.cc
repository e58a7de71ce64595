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

std::optional<std::uint64_t> MemoryPlatform::AnswerWrite(
    std::optional<std::uint64_t> version,
    ResultCode refusal,
    Reason* reason) {
  if (lose_answers > 0) {
    --lose_answers;
    return Fail(reason, ResultCode::kPlatformUnknown, "the answer was lost");
  }
  if (!version)
    return Fail(reason, refusal, "refused");
  return version;
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
  co_return PlatformObject{object->name, object->version, object->value};
}

PlatformClient::Answer<std::uint64_t> MemoryPlatform::Create(PlatformDuty,
                                                             std::string name,
                                                             std::string value,
                                                             Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return AnswerWrite(store.Create(name, std::move(value)),
                        ResultCode::kPlatformExists, reason);
}

PlatformClient::Answer<std::uint64_t>
MemoryPlatform::Update(PlatformDuty, PlatformObject object, Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return AnswerWrite(
      store.Update(object.name, object.version, std::move(object.value)),
      ResultCode::kPlatformConflict, reason);
}

PlatformClient::Answer<std::uint64_t> MemoryPlatform::Delete(
    PlatformDuty,
    std::string name,
    std::uint64_t version,
    Reason* reason) {
  StartWrite();
  if (!Reachable(reason))
    co_return std::nullopt;
  std::optional<std::uint64_t> deleted;
  if (store.Delete(name, version))
    deleted = version;
  co_return AnswerWrite(deleted, ResultCode::kPlatformConflict, reason);
}

PlatformClient::Answer<std::vector<PlatformObject>>
MemoryPlatform::List(PlatformDuty, std::string prefix, Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  std::vector<PlatformObject> objects;
  for (const StoredObject& it : store.List(prefix))
    objects.push_back({it.name, it.version, it.value});
  co_return objects;
}

PlatformClient::Answer<PlatformObject> MemoryPlatform::Watch(
    PlatformDuty,
    std::string name,
    std::uint64_t after,
    std::chrono::milliseconds,
    Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  const StoredObject* object = store.Find(name);
  if (!object || object->version <= after)
    co_return Fail(reason, ResultCode::kPlatformNotFound, "nothing newer");
  co_return PlatformObject{object->name, object->version, object->value};
}

PlatformClient::Answer<std::string> MemoryPlatform::Hosts(Reason* reason) {
  ++reads;
  if (!Reachable(reason))
    co_return std::nullopt;
  co_return hosts;
}

}  // namespace turmericwinch
