#include "libs/load/call_record.h"

#include <array>
#include <cstddef>

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, 4> kKindNames = {
    "streamed_chat", "whole_chat", "write", "read"};
constexpr std::array<std::string_view, 3> kEndNames = {"answered", "not_run",
                                                       "unknown"};

}  // namespace

std::string_view NameOf(CallKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view NameOf(CallEnd end) {
  return kEndNames.at(static_cast<std::size_t>(end));
}

bool IsChat(CallKind kind) {
  return kind == CallKind::kStreamedChat || kind == CallKind::kWholeChat;
}

}  // namespace turmericwinch
