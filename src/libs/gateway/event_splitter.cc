#include "libs/gateway/event_splitter.h"

#include "libs/base/trimmed.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kIdField = "id:";
// Around an id; a line may end with a carriage return.
constexpr std::string_view kSpaces = " \t\v\f\r";

// End of the first complete event of `text`; npos if there is none.
std::size_t EndOfEvent(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  return lf < crlf ? lf + 2 : crlf + 4;
}

std::optional<EventId> ParseId(std::string_view event) {
  for (std::size_t start = 0; start < event.size();) {
    const std::size_t end = event.find('\n', start);
    std::string_view line =
        event.substr(start, end == std::string_view::npos ? end : end - start);
    start = end == std::string_view::npos ? event.size() : end + 1;
    if (!line.starts_with(kIdField))
      continue;
    line.remove_prefix(kIdField.size());
    if (auto id = EventId::Parse(Trimmed(line, kSpaces)))
      return id;
  }
  return std::nullopt;
}

}  // namespace

std::optional<RawEvent> EventSplitter::NextEvent() {
  const std::size_t end = EndOfEvent(buf_);
  if (end == std::string::npos)
    return std::nullopt;
  RawEvent event;
  event.bytes = buf_.substr(0, end);
  buf_.erase(0, end);
  event.id = ParseId(event.bytes);
  return event;
}

}  // namespace turmericwinch
