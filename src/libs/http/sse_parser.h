// Splits a byte stream into server-sent events.

#ifndef SRC_LIBS_HTTP_SSE_PARSER_H_
#define SRC_LIBS_HTTP_SSE_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Accepts pieces of any size and returns the data of complete events in order.
class SseParser {
 public:
  void Feed(std::string_view piece);
  // Data of the next complete event, without "data: "; nullopt if there is
  // none.
  std::optional<std::string> Next();
  // Number of buffered bytes that Next() has not returned.
  std::size_t pending_bytes() const { return buf_.size() - start_; }

 private:
  std::string buf_;
  std::size_t start_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_SSE_PARSER_H_
