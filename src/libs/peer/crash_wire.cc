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
    request.working_parts.assign(it.working_parts.begin(),
                                 it.working_parts.end());
    request.age_ms = it.age.count();
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
  for (const AnsweredPart& it : notice.answered) {
    result.answered.push_back(static_cast<std::int64_t>(it.part));
    result.answered_ages_ms.push_back(it.age.count());
  }
  return result;
}

std::optional<CrashNotice> CrashNoticeOf(const wire::CrashNotice& wire) {
  if (wire.target.empty())
    return std::nullopt;
  CrashNotice notice{{wire.target, {}}};
  for (const wire::LostRequest& it : wire.requests) {
    if (it.age_ms < 0)
      return std::nullopt;
    notice.crash.requests.push_back(
        {it.digest,
         {it.shared_parts.begin(), it.shared_parts.end()},
         {it.working_parts.begin(), it.working_parts.end()},
         std::chrono::milliseconds(it.age_ms)});
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
  const std::vector<std::int64_t>& ages = wire.answered_ages_ms;
  for (std::size_t n = 0; n < wire.answered.size(); ++n) {
    const std::int64_t age = n < ages.size() ? ages[n] : 0;
    if (age < 0)
      return std::nullopt;
    notice.answered.push_back({static_cast<PromptPartId>(wire.answered[n]),
                               std::chrono::milliseconds(age)});
  }
  return notice;
}

}  // namespace turmericwinch
