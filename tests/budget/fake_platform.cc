#include "budget/fake_platform.h"

namespace turmericwinch {

namespace {

PlatformAnswer Failed(ResultCode code, const std::string& text) {
  return {{code, text}, {}, "", {}};
}

}  // namespace

PlatformFault FakePlatform::NextFault(const PlatformCall& call) {
  if (down)
    return PlatformFault::kRefused;
  const bool write =
      call.verb == PlatformVerb::kCreate || call.verb == PlatformVerb::kUpdate;
  if (write && !write_faults.empty()) {
    const PlatformFault fault = write_faults.front();
    write_faults.pop_front();
    return fault;
  }
  return fault_of ? fault_of(call) : PlatformFault::kNone;
}

PlatformAnswer FakePlatform::Call(const PlatformCall& call) {
  const PlatformFault fault = NextFault(call);
  if (fault == PlatformFault::kRefused)
    return Failed(ResultCode::kPlatformUnavailable, "the platform is down");
  if (fault == PlatformFault::kCallLost)
    return Failed(ResultCode::kPlatformUnknown, "no answer");
  PlatformAnswer answer = Apply(call);
  bytes += call.value.size() + answer.value.size();
  if (fault == PlatformFault::kAnswerLost)
    return Failed(ResultCode::kPlatformUnknown, "no answer");
  return answer;
}

PlatformAnswer FakePlatform::List(const std::string& prefix) {
  ++reads;
  PlatformAnswer answer;
  for (const auto& [name, object] : objects) {
    if (name.starts_with(prefix))
      answer.objects.push_back({name, object.version, object.value});
  }
  return answer;
}

PlatformAnswer FakePlatform::Apply(const PlatformCall& call) {
  if (call.verb == PlatformVerb::kList)
    return List(call.name);
  auto it = objects.find(call.name);
  if (call.verb == PlatformVerb::kGet) {
    ++reads;
    if (it == objects.end())
      return Failed(ResultCode::kPlatformNotFound, call.name);
    return {{}, it->second.version, it->second.value, {}};
  }
  ++writes;
  if (call.verb == PlatformVerb::kCreate && it != objects.end())
    return Failed(ResultCode::kPlatformExists, call.name);
  if (call.verb == PlatformVerb::kUpdate) {
    if (it == objects.end())
      return Failed(ResultCode::kPlatformNotFound, call.name);
    if (it->second.version != call.version)
      return Failed(ResultCode::kPlatformConflict, call.name);
  }
  const StoreVersion version{0, next_revision_++};
  objects[call.name] = {version, call.value};
  return {{}, version, "", {}};
}

}  // namespace turmericwinch
