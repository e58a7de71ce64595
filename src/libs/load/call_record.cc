#include "libs/load/call_record.h"

#include <array>
#include <cstddef>

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, 4> kKindNames = {
    "streamed_chat", "whole_chat", "write", "read"};
constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "answered", "not_run", "unknown"};

}  // namespace

std::string_view NameOf(CallKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view NameOf(CallOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

bool IsChat(CallKind kind) {
  return kind == CallKind::kStreamedChat || kind == CallKind::kWholeChat;
}

}  // namespace turmericwinch
