#include "libs/http/sse_parser.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

void SseParser::Feed(std::string_view piece) {
  if (start_ != 0) {
    buf_.erase(0, start_);
    start_ = 0;
  }
  buf_ += piece;
}

std::optional<std::string> SseParser::Next() {
  std::size_t end = buf_.find(kEventEnd, start_);
  if (end == std::string::npos)
    return std::nullopt;
  std::string_view event(buf_.data() + start_, end - start_);
  start_ = end + kEventEnd.size();
  if (event.starts_with(kDataPrefix))
    event.remove_prefix(kDataPrefix.size());
  return std::string(event);
}

}  // namespace turmericwinch
