// Splits a byte stream into server-sent events.

#ifndef SRC_LIBS_HTTP_SSE_PARSER_H_
#define SRC_LIBS_HTTP_SSE_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Fed with pieces of any size; gives the data of whole events in order.
class SseParser {
 public:
  void Feed(std::string_view piece);
  // Data of the next whole event, without "data: "; nothing if none is whole.
  std::optional<std::string> Next();
  // Bytes of an event that is not whole yet.
  std::size_t pending_bytes() const { return buf_.size() - start_; }

 private:
  std::string buf_;
  std::size_t start_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_SSE_PARSER_H_
