// An answer that several callers can receive while it is generated.

#ifndef SRC_LIBS_NODE_SHARED_ANSWER_H_
#define SRC_LIBS_NODE_SHARED_ANSWER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/http/http_message.h"
#include "libs/node/refusal.h"

namespace turmericwinch {

// The bytes that arrived since the reader's previous part. When the answer has
// `ended`, either `response` or `refusal` is set, or a stream ended; `complete`
// is false if the stream was broken off.
struct AnswerPart {
  std::string bytes;
  bool ended = false;
  bool complete = false;
  std::optional<HttpResponse> response;
  std::optional<Refusal> refusal;
};

// Written by one request's coroutine, read by those of other requests.
// Thread-safe.
class SharedAnswer {
 public:
  // `total_bytes` counts the bytes of all shared answers and outlives this one.
  explicit SharedAnswer(std::shared_ptr<std::atomic<std::size_t>> total_bytes);
  ~SharedAnswer();

  // Appends server-sent events. If a size limit would be exceeded, the stored
  // bytes are discarded and readers get a refusal.
  void AppendEvents(std::string_view bytes);
  // Ends a stream.
  void EndStream(bool complete);
  // Ends the answer with a complete response or a refusal. No effect if the
  // answer has already ended.
  void EndWith(HttpResponse response);
  void EndWith(Refusal refusal);

  // Returns the answer if it is complete, so that it can be stored.
  std::optional<HttpResponse> CompleteResponse() const;

  // Waits for bytes after the first `from`, or for the end of the answer.
  boost::asio::awaitable<AnswerPart> WaitForPart(std::size_t from);

 private:
  std::optional<AnswerPart> PartFrom(std::size_t from) const;
  // Calls and removes all waiters. The mutex must be held.
  void NotifyWaiters();

  std::shared_ptr<std::atomic<std::size_t>> total_bytes_;
  mutable std::mutex mutex_;
  std::string bytes_;
  bool overflowed_ = false;
  bool ended_ = false;
  bool complete_ = false;
  std::optional<HttpResponse> response_;
  std::optional<Refusal> refusal_;
  std::vector<std::function<void()>> waiters_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_ANSWER_H_
