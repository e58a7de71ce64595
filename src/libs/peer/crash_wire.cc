#include "libs/peer/crash_wire.h"

#include <utility>

namespace turmericwinch {

wire::CrashNotice ToWire(const CrashNotice& notice) {
  wire::CrashNotice result;
  result.target = notice.crash.target;
  for (const LostRequest& it : notice.crash.requests) {
    wire::LostRequest request;
    request.digest = it.digest;
    request.shared_parts.assign(it.shared_parts.begin(), it.shared_parts.end());
    result.requests.push_back(std::move(request));
  }
  return result;
}

wire::PromptPartNotice ToWire(const PromptPartNotice& notice) {
  wire::PromptPartNotice result;
  for (const QuarantinedPart& it : notice.quarantined) {
    wire::QuarantinedPart part;
    part.part = static_cast<std::int64_t>(it.part);
    part.hold_ms = it.hold.count();
    result.quarantined.push_back(part);
  }
  result.answered.assign(notice.answered.begin(), notice.answered.end());
  return result;
}

std::optional<CrashNotice> CrashNoticeOf(const wire::CrashNotice& wire) {
  if (wire.target.empty())
    return std::nullopt;
  CrashNotice notice{{wire.target, {}}};
  for (const wire::LostRequest& it : wire.requests) {
    notice.crash.requests.push_back(
        {it.digest, {it.shared_parts.begin(), it.shared_parts.end()}});
  }
  return notice;
}

std::optional<PromptPartNotice> PromptPartNoticeOf(
    const wire::PromptPartNotice& wire) {
  PromptPartNotice notice;
  for (const wire::QuarantinedPart& it : wire.quarantined) {
    if (it.hold_ms < 0)
      return std::nullopt;
    notice.quarantined.push_back({static_cast<PromptPartId>(it.part),
                                  std::chrono::milliseconds(it.hold_ms)});
  }
  notice.answered.assign(wire.answered.begin(), wire.answered.end());
  return notice;
}

}  // namespace turmericwinch
