// Converts notices of crashes to and from their wire format.

#ifndef SRC_LIBS_PEER_CRASH_WIRE_H_
#define SRC_LIBS_PEER_CRASH_WIRE_H_

#include <peer_types.h>

#include <optional>

#include "libs/peer/peer_frame.h"

namespace turmericwinch {

wire::CrashNotice ToWire(const CrashNotice& notice);
wire::PromptPartNotice ToWire(const PromptPartNotice& notice);
// Return nullopt if the content is not valid.
std::optional<CrashNotice> CrashNoticeOf(const wire::CrashNotice& wire);
std::optional<PromptPartNotice> PromptPartNoticeOf(
    const wire::PromptPartNotice& wire);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_CRASH_WIRE_H_
